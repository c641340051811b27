package cicadabatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

// A callPolicy says how long a call may take, and when further attempts at it begin. All times
// are in addition to Call.Wait.
type callPolicy struct {
	// limit is the time after which the call fails, or 0 if only its attempts have a limit.
	limit time.Duration
	// attemptLimit is the time after which an attempt fails.
	attemptLimit time.Duration
	// patience is the time without an answer after which a further attempt begins beside the
	// earlier ones. If it is 0, one begins only when the one before has failed.
	patience time.Duration
}

const (
	// readLimit leaves time to answer a caller that reads, who waits 1.5 s longer than it allows.
	readLimit     = 1250 * time.Millisecond
	readPatience  = 400 * time.Millisecond
	writeLimit    = 2900 * time.Millisecond
	writePatience = 800 * time.Millisecond // longer, as a write is work for the owner and the store
	// attemptTimeout limits an attempt that is the only one at its time.
	attemptTimeout = 1500 * time.Millisecond
)

// policy returns the policy of a call. A call that is relayed is made once at a time, as the process
// that asked for it makes further attempts itself; so are those that owners send each other.
func (c *Call) policy() callPolicy {
	switch {
	case c.Relayed:
	case c.Kind == CallReadResults, c.Kind == CallReadItem:
		return callPolicy{limit: readLimit, attemptLimit: readLimit, patience: readPatience}
	case c.isWrite():
		return callPolicy{limit: writeLimit, attemptLimit: writeLimit, patience: writePatience}
	}
	return callPolicy{attemptLimit: attemptTimeout}
}

// isWrite reports whether an owner that has not answered may have done what its caller must know of.
func (c *Call) isWrite() bool { return c.Kind == CallSubmit || c.Kind == CallEndJob }

// errRefusedLater reports that an owner refused a call which another one may have served.
var errRefusedLater = merry.Sentinel("cicadabatch: refused after an attempt whose outcome is unknown")

// An attemptResult is how an attempt ended, and its response if it was answered.
type attemptResult struct {
	Attempt
	resp Response
}

// A pendingCall is a call that is being made.
type pendingCall struct {
	client  *Client
	call    *Call
	policy  callPolicy
	start   time.Time
	peers   []Peer // to be tried, in their order
	begun   int    // attempts
	running int
	results chan attemptResult
	failure CallFailure
	refusal *Response // an answer that says that nothing was done
	// unknown is set if an attempt ended after which the owner may have served the call.
	unknown bool
}

// newPendingCall returns a call to the given owners, the job's owner first.
func newPendingCall(client *Client, call *Call, ranked []Peer) *pendingCall {
	p := &pendingCall{client: client, call: call, policy: call.policy(), start: time.Now(), failure: CallFailure{err: errNoOwner}}
	p.peers = slices.DeleteFunc(ranked, func(peer Peer) bool { return peer.Relayed && call.Relayed })
	if p.policy.patience > 0 && len(p.peers) > 0 {
		// The connection to the job's owner may be at fault, and not the owner.
		p.peers = slices.Insert(p.peers, 0, p.peers[0])
	}
	p.results = make(chan attemptResult, len(p.peers))
	return p
}

// run makes attempts until one is answered, the time is up, or no owner is left.
func (p *pendingCall) run(ctx context.Context) (Response, error) {
	if p.policy.limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.call.Wait+p.policy.limit)
		defer cancel()
	}
	timer := time.NewTimer(p.call.Wait + p.policy.patience)
	defer timer.Stop()
	if p.policy.patience == 0 {
		timer.Stop()
	}
	p.begin(ctx)
	for p.running > 0 {
		select {
		case r := <-p.results:
			p.running--
			if p.record(r) {
				return r.resp, nil
			}
			if r.err != nil {
				p.begin(ctx)
			}
		case <-timer.C:
			p.begin(ctx)
			timer.Reset(p.policy.patience)
		}
	}
	return p.end()
}

// begin begins an attempt at the next owner, unless there is none or ctx is done.
func (p *pendingCall) begin(ctx context.Context) {
	if len(p.peers) == 0 || ctx.Err() != nil {
		return
	}
	peer := p.peers[0]
	p.peers = p.peers[1:]
	if p.begun > 0 {
		ctx = cicadawire.VerifyConn(ctx)
	}
	p.begun++
	p.running++
	call, start := *p.call, time.Now()
	call.Wait = max(p.call.Wait-start.Sub(p.start), 0)
	p.client.tasks.Go(func() {
		r := attemptResult{Attempt: Attempt{peer: peer}}
		if err := cicadatask.Try(func() { r.resp, r.err = p.client.callPeer(ctx, peer, &call, call.Wait+p.policy.attemptLimit) }); err != nil {
			r.err = merry.Errorf("call %s: %w", peer.Name, err)
		}
		r.took = time.Since(start)
		p.results <- r
	})
}

// record records the end of an attempt. It reports whether its response is the answer to the call:
// one that only says that nothing was done is not, while another attempt may still be answered.
func (p *pendingCall) record(r attemptResult) (answered bool) {
	if r.err != nil {
		p.failure.add(r.Attempt)
		if r.End() == EndNotDialed {
			p.peers = slices.DeleteFunc(p.peers, func(peer Peer) bool { return peer == r.peer })
		} else {
			p.unknown = true
		}
		return false
	}
	switch r.resp.Status {
	case http.StatusBadGateway:
		p.unknown = true
		return p.running == 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		p.refusal = &r.resp
		return false
	}
	return true
}

// end returns the response to a call for which no attempt had an answer that stands by itself.
func (p *pendingCall) end() (Response, error) {
	switch {
	case p.refusal != nil && (!p.unknown || !p.call.isWrite()):
		return *p.refusal, nil
	case p.refusal != nil:
		p.failure.err = errRefusedLater
	}
	if p.call.isWrite() {
		return outcomeUnknown(), &p.failure
	}
	return unavailable(), &p.failure
}
