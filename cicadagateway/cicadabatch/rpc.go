package cicadabatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"cicadalink.example/cicadakernel/cicadawire"
)

const rpcName = "/cicadabatch.Owner/Handle"

// cborEncoding encodes calls as CBOR, which needs no generated code.
type cborEncoding struct{}

// Marshal encodes a message.
func (cborEncoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal decodes a message.
func (cborEncoding) Unmarshal(buf []byte, msg drpc.Message) error { return cbor.Unmarshal(buf, msg) }

// rpcDescription describes the single method of the service to drpc.
type rpcDescription struct{}

// NumMethods returns the number of methods.
func (rpcDescription) NumMethods() int { return 1 }

// Method describes the method.
func (rpcDescription) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	return rpcName, cborEncoding{}, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return srv.(handler).Handle(ctx, in.(*Call))
	}, handler.Handle, true
}

// A handler serves calls: an Owner, or a Client that relays them.
type handler interface {
	Handle(ctx context.Context, c *Call) (*Response, error)
}

// Register registers the owner's service.
func (o *Owner) Register(mux drpc.Mux) error { return register(mux, o) }

// Register registers a service that relays calls to the job's owner, for peers that
// cannot reach it.
func (c *Client) Register(mux drpc.Mux) error { return register(mux, c) }

func register(mux drpc.Mux, h handler) error {
	if err := mux.Register(h, rpcDescription{}); err != nil {
		return merry.Errorf("register job calls: %w", err)
	}
	return nil
}

// ownerOf selects the owner that runs a job, by rendezvous hashing.
func ownerOf(id string, owners []string) string {
	best, highest := "", uint64(0)
	for _, name := range owners {
		if h := xxhash.Sum64String(name + " " + id); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}

// attemptTimeout limits the time of a call to one owner, in addition to Call.Wait.
const attemptTimeout = 1500 * time.Millisecond

// A Peer is an owner that can be called. If this process cannot reach it, Relayed is
// set and Address is that of a process that can.
type Peer struct {
	Name    string
	Address string
	Relayed bool
}

// A Client sends calls to the owners of their jobs.
type Client struct {
	pool   *cicadawire.Pool
	owners func() []Peer
}

// NewClient returns a client. owners returns the owners that may currently run jobs.
func NewClient(pool *cicadawire.Pool, owners func() []Peer) *Client {
	return &Client{pool: pool, owners: owners}
}

// Handle relays a call for a process that cannot reach the owner.
func (c *Client) Handle(ctx context.Context, call *Call) (*Response, error) {
	call.Relayed = true
	resp, err := c.Call(ctx, call)
	if err != nil {
		return nil, err
	}
	return &resp, nil
}

// Call sends a call to the job's owner. If that fails, it tries the other owners in
// the order of the rendezvous hash.
func (c *Client) Call(ctx context.Context, call *Call) (Response, error) {
	err := error(merry.New("cicadabatch: no owner available"))
	for _, peer := range rankPeers(call.Job, c.owners()) {
		if peer.Relayed && call.Relayed {
			continue
		}
		var resp Response
		if resp, err = c.callPeer(ctx, peer, call); err == nil {
			return resp, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if call.Kind == CallSubmit || call.Kind == CallEndJob {
		return Response{Status: http.StatusBadGateway}, merry.Errorf("call owner: %w", err)
	}
	return unavailable(), merry.Errorf("call owner: %w", err)
}

func (c *Client) callPeer(ctx context.Context, peer Peer, call *Call) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+attemptTimeout)
	defer cancel()
	var resp Response
	err := c.pool.Conn(peer.Address).Invoke(ctx, rpcName, cborEncoding{}, call, &resp)
	return resp, err
}

// HandOver sends the progress of a job to the owner that it has moved to.
func (c *Client) HandOver(ctx context.Context, job string, p []Progress) error {
	_, err := c.Call(ctx, &Call{Kind: CallHandOver, Job: job, Progress: p})
	return err
}

// errCheckpointGap reports that the receiver of a checkpoint lacks an earlier one.
var errCheckpointGap = merry.Sentinel("cicadabatch: receiver lacks an earlier checkpoint")

// Replicate sends a checkpoint of a job to the owner that would run it next.
func (c *Client) Replicate(ctx context.Context, p Checkpoint) error {
	resp, err := c.Call(ctx, &Call{Kind: CallCheckpoint, Job: p.Job, Progress: p.Items})
	if err == nil && resp.Status != http.StatusOK {
		err = errCheckpointGap
	}
	return err
}

// broadcastTimeout limits the time of a message that goes to all owners.
const broadcastTimeout = 400 * time.Millisecond

// ReportWaiting sends the waiting tokens of jobs to all other owners.
func (c *Client) ReportWaiting(ctx context.Context, reports []WaitingTokens) {
	c.broadcast(ctx, &Call{Kind: CallReportWaiting, Waiting: reports})
}

// Shrink asks all other owners to return the tokens of a route that no job needs.
func (c *Client) Shrink(ctx context.Context, route string) {
	c.broadcast(ctx, &Call{Kind: CallShrink, Route: route})
}

// broadcast sends a call to all owners that can be reached directly. An owner that does not
// get it only keeps older or higher counts of tokens, so errors need no handling.
func (c *Client) broadcast(ctx context.Context, call *Call) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, peer := range c.owners() {
		if !peer.Relayed {
			wg.Go(func() { _, _ = c.callPeer(ctx, peer, call) })
		}
	}
	wg.Wait()
}

// rankPeers sorts owners by the rendezvous hash of a job, its owner first.
func rankPeers(id string, owners []Peer) []Peer {
	owners = slices.Clone(owners)
	hash := func(p Peer) uint64 { return xxhash.Sum64String(p.Name + " " + id) }
	slices.SortFunc(owners, func(a, b Peer) int {
		switch x, y := hash(a), hash(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return owners
}
