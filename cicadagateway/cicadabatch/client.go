package cicadabatch

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

// A Peer is an owner that can be called. If this process cannot reach it, Relayed is
// set and Address is that of a process that can.
type Peer struct {
	Name    string
	Address string
	Relayed bool
}

var errNoOwner = merry.Sentinel("cicadabatch: no owner available")

// A Client sends calls to the owners of their jobs.
type Client struct {
	pool   *cicadawire.Pool
	owners func() []Peer
	tasks  cicadatask.Group
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

// Call sends a call to the job's owner. If that fails, it tries the other owners in the order of the
// rendezvous hash. If a caller's call has no answer for a while, further attempts begin beside the first, as that
// may be lost where no error tells, see pendingCall. The response to a submission or an end is an unknown outcome
// if an attempt may have taken effect and none was answered. An error is a *CallFailure.
func (c *Client) Call(ctx context.Context, call *Call) (Response, error) {
	return newPendingCall(c, call, rankPeers(call.Job, c.owners())).run(ctx)
}

func (c *Client) callPeer(ctx context.Context, peer Peer, call *Call, timeout time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	var wg conc.WaitGroup
	for _, peer := range c.owners() {
		if !peer.Relayed {
			wg.Go(func() { _, _ = c.callPeer(ctx, peer, call, broadcastTimeout) })
		}
	}
	wg.Wait()
}
