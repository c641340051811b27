package cicadaprocess

import (
	"github.com/fxamacker/cbor/v2"

	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadakernel/cicadaview"
)

// sendOriginMessage sends a message about origins of streams to another process.
func (n *Node) sendOriginMessage(member string, m cicadaorigin.Message) {
	message, err := cbor.Marshal(m)
	if err != nil {
		n.log.Error("failed to encode message about streams", "error", err)
		return
	}
	if g := n.group; g != nil {
		g.SendTo(member, message)
	}
}

func (n *Node) receiveOriginMessage(b []byte) {
	var m cicadaorigin.Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		n.log.Warn("invalid peer message ignored", "error", err)
		return
	}
	n.origins.Receive(m)
}

// setEndpoints passes on the registered endpoints.
func (n *Node) setEndpoints(all []cicadaview.Endpoint) {
	if n.versions.SetEndpoints(all) {
		n.notifyPeers()
		n.history.signal()
	}
	n.origins.Update()
	n.table.SetEndpoints(all)
}

// updateOriginMembers tells the tracker of origins which processes are live, and whether
// this one may miss versions that others know.
func (n *Node) updateOriginMembers() {
	live, known := n.group.Names()
	n.origins.SetMembers(live)
	n.versions.KeepPeers(live)
	storeReached := n.storeUp.Load() || n.group.PeerReachesStore()
	n.versions.SetIsolated(2*len(live) < known || !storeReached)
	n.origins.Update()
}
