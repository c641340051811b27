package cicadabatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"cicadalink.example/cicadakernel/cicadawire"
)

const callName = "/cicadabatch.Owner/Handle"

// encoding encodes calls as CBOR, which needs no generated code.
type encoding struct{}

// Marshal encodes a message.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal decodes a message.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error { return cbor.Unmarshal(buf, msg) }

type description struct{}

// NumMethods returns the number of calls.
func (description) NumMethods() int { return 1 }

// Method describes the call.
func (description) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	return callName, encoding{}, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return srv.(handler).Handle(ctx, in.(*Call))
	}, handler.Handle, true
}

// A handler answers calls: an owner, or a client that passes them on.
type handler interface {
	Handle(ctx context.Context, c *Call) (*Answer, error)
}

// Register serves the owner's calls.
func (o *Owner) Register(mux drpc.Mux) error { return register(mux, o) }

// Register serves calls by passing them on to the job's owner, for peers that
// cannot reach it.
func (c *Client) Register(mux drpc.Mux) error { return register(mux, c) }

func register(mux drpc.Mux, h handler) error {
	if err := mux.Register(h, description{}); err != nil {
		return merry.Errorf("register job calls: %w", err)
	}
	return nil
}

// ownerOf returns which of the owners runs a job, by rendezvous hashing.
func ownerOf(id string, owners []string) string {
	best, highest := "", uint64(0)
	for _, name := range owners {
		if h := xxhash.Sum64String(name + " " + id); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}

// tryTime is how long one owner may take for a call, beyond the call's wait.
const tryTime = 1500 * time.Millisecond

// A Peer is an owner that can be called. If this process does not reach it, the
// address is that of a process that does.
type Peer struct {
	Name    string
	Address string
	Relayed bool
}

// A Client passes calls on to the owner of their job.
type Client struct {
	pool   *cicadawire.Pool
	owners func() []Peer
}

// NewClient returns a client. owners returns the owners that may run jobs now.
func NewClient(pool *cicadawire.Pool, owners func() []Peer) *Client {
	return &Client{pool: pool, owners: owners}
}

// Handle passes on a call that another process could not bring to the owner.
func (c *Client) Handle(ctx context.Context, call *Call) (*Answer, error) {
	call.Relayed = true
	a, err := c.Call(ctx, call)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// Call passes a call to the job's owner. If that one cannot be reached, the next
// in the order of the hash is asked.
func (c *Client) Call(ctx context.Context, call *Call) (Answer, error) {
	err := error(merry.New("cicadabatch: no owner"))
	for _, peer := range rank(call.Job, c.owners()) {
		if peer.Relayed && call.Relayed {
			continue
		}
		var a Answer
		if a, err = c.try(ctx, peer, call); err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if call.Kind == CallSubmit || call.Kind == CallEnd {
		return Answer{Status: http.StatusBadGateway}, merry.Errorf("call owner: %w", err)
	}
	return refused(), merry.Errorf("call owner: %w", err)
}

func (c *Client) try(ctx context.Context, peer Peer, call *Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+tryTime)
	defer cancel()
	var a Answer
	err := c.pool.Conn(peer.Address).Invoke(ctx, callName, encoding{}, call, &a)
	return a, err
}

// HandOver passes the progress of a job to the owner that it has moved to.
func (c *Client) HandOver(ctx context.Context, job string, p []Progress) error {
	_, err := c.Call(ctx, &Call{Kind: CallHandOver, Job: job, Progress: p})
	return err
}

// errGap reports that the receiver of a checkpoint lacks what comes before it.
var errGap = merry.Sentinel("cicadabatch: checkpoint does not follow on the last")

// Copy passes a checkpoint of a job to the owner that would be next to run it.
func (c *Client) Copy(ctx context.Context, p Checkpoint) error {
	a, err := c.Call(ctx, &Call{Kind: CallCheckpoint, Job: p.Job, Progress: p.Items})
	if err == nil && a.Status != http.StatusOK {
		err = errGap
	}
	return err
}

func rank(id string, owners []Peer) []Peer {
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
