package cicadaprocess

import (
	"sync"
	"time"
)

// endpointReports holds endpoints that must be reported to peers: those that have refused connections of this
// process, or those to which it could not connect in time. An endpoint that has crashed looks idle to
// all peers.
type endpointReports struct {
	mu     sync.Mutex
	outbox outbox[string]
}

// newEndpointReports returns reports that are sent at once or not at all, because the endpoint
// may soon be reachable again.
func newEndpointReports() *endpointReports {
	return &endpointReports{outbox: outbox[string]{maxSends: promptSends}}
}

func (r *endpointReports) add(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.add(endpoint)
}

// next returns the endpoints for the next message to peers.
func (r *endpointReports) next(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.next(now)
}

// reportRefusal reports to peers that an endpoint has refused a connection.
func (n *Node) reportRefusal(endpoint string) {
	n.refusals.add(endpoint)
	n.refusalsReported.Inc(1)
	n.log.Info("endpoint refuses connections", "endpoint", endpoint)
	n.notifyPeers()
}

// reportUnreachable reports to peers that no connection to an endpoint could be opened in time.
func (n *Node) reportUnreachable(endpoint string) {
	n.unreachable.add(endpoint)
	n.process.Scope().Counter("endpoints_unreachable_reported").Inc(1)
	n.log.Info("endpoint unreachable", "endpoint", endpoint)
	n.notifyPeers()
}
