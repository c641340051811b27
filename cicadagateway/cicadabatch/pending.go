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
	// hedgeDelay is the time without an answer after which a further attempt begins beside the
	// earlier ones. If it is 0, one begins only when the one before has failed.
	hedgeDelay time.Duration
}

const (
	// readLimit leaves time to answer a caller that reads, who waits 1.5 s longer than it allows.
	readLimit       = 1250 * time.Millisecond
	readHedgeDelay  = 400 * time.Millisecond
	writeLimit      = 2900 * time.Millisecond
	writeHedgeDelay = 800 * time.Millisecond // longer, as a write is work for the owner and the store
	// checkTimeout is the time in which an owner has to answer a check.
	checkTimeout = 300 * time.Millisecond
	// ownerInterval is the time from one owner to the next, once one has not answered a check.
	ownerInterval = 200 * time.Millisecond
	// attemptTimeout limits an attempt that is the only one at its time.
	attemptTimeout = 1500 * time.Millisecond
)

// policy returns the policy of a call. A call that is relayed is made once at a time, as the process
// that asked for it makes further attempts itself; so are those that owners send each other and repeat, as
// checkpoints.
func (c *Call) policy() callPolicy {
	switch {
	case c.Relayed:
	case c.Kind == CallReadResults, c.Kind == CallReadItem:
		return callPolicy{limit: readLimit, attemptLimit: readLimit, hedgeDelay: readHedgeDelay}
	case c.isWrite():
		return callPolicy{limit: writeLimit, attemptLimit: writeLimit, hedgeDelay: writeHedgeDelay}
	case c.Kind == CallHandOver:
		return callPolicy{attemptLimit: attemptTimeout, hedgeDelay: readHedgeDelay}
	}
	return callPolicy{attemptLimit: attemptTimeout}
}

// isWrite reports whether an owner that has not answered may have done what its caller must know of.
func (c *Call) isWrite() bool { return c.Kind == CallSubmit || c.Kind == CallEndJob }

// anyOwner reports whether another owner than the job's can serve the call. Progress is of use to one owner only.
func (c *Call) anyOwner() bool { return c.Kind != CallHandOver && c.Kind != CallCheckpoint }

// errRefusedLater reports that an owner refused a call which another one may have served.
var errRefusedLater = merry.Sentinel("cicadabatch: refused after an attempt whose outcome is unknown")

// An attemptResult is how an attempt ended, and its response if it was answered.
type attemptResult struct {
	Attempt
	resp Response
}

// A pendingCall is a call that is being made. If an attempt has no answer for a while, its owner is asked over
// another connection, once more and whether it answers calls at all. One that does is given its time: it may wait for
// the store, which others would only read as well. Otherwise the next owners are tried beside it.
type pendingCall struct {
	client  *Client
	call    *Call
	policy  callPolicy
	start   time.Time
	peers   []Peer // to be tried, in their order
	latest  Peer   // tried last
	begun   int    // attempts
	running int
	results chan attemptResult
	checked chan bool // whether the owner answered the check
	stage   hedgeStage
	failure CallFailure
	refusal *Response // an answer that says that nothing was done
	// unknown is set if an attempt ended after which the owner may have served the call.
	unknown bool
}

// A hedgeStage is how far a call without an answer has got.
type hedgeStage int

const (
	hedgeWaiting  hedgeStage = iota // for the first attempt
	hedgeChecking                   // the owner is being checked
	hedgeOthers                     // the other owners are tried in turn
)

// newPendingCall returns a call to the given owners, the job's owner first.
func newPendingCall(client *Client, call *Call, ranked []Peer) *pendingCall {
	p := &pendingCall{client: client, call: call, policy: call.policy(), start: time.Now(), checked: make(chan bool, 1), failure: CallFailure{err: errNoOwner}}
	p.peers = slices.DeleteFunc(ranked, func(peer Peer) bool { return peer.Relayed && call.Relayed })
	if !call.anyOwner() && len(p.peers) > 1 {
		p.peers = p.peers[:1]
	}
	p.results = make(chan attemptResult, len(p.peers)+1)
	return p
}

// run makes attempts until one is answered, the time is up, or no owner is left.
func (p *pendingCall) run(ctx context.Context) (Response, error) {
	ctx, cancel := context.WithCancel(ctx) // ends the attempts that still run when another one is answered
	defer cancel()
	if p.policy.limit > 0 {
		ctx, cancel = context.WithTimeout(ctx, p.call.Wait+p.policy.limit)
		defer cancel()
	}
	timer := time.NewTimer(p.call.Wait + p.policy.hedgeDelay)
	defer timer.Stop()
	if p.policy.hedgeDelay == 0 {
		timer.Stop()
	}
	p.beginNext(ctx)
	for p.running > 0 {
		select {
		case r := <-p.results:
			p.running--
			if p.record(r) {
				return r.resp, nil
			}
			if r.err != nil {
				p.beginNext(ctx)
			}
		case <-timer.C:
			timer.Reset(p.hedge(ctx))
		case answers := <-p.checked:
			if answers {
				timer.Stop()
			} else if p.stage == hedgeChecking {
				timer.Reset(p.hedge(ctx))
			}
		}
	}
	return p.end()
}

// hedge begins what comes next while a call has no answer, and returns the time until the step after it.
func (p *pendingCall) hedge(ctx context.Context) time.Duration {
	if p.stage == hedgeWaiting && !p.latest.Relayed {
		p.stage = hedgeChecking
		p.begin(ctx, p.latest)
		p.check(ctx, p.latest)
		return checkTimeout
	}
	p.stage = hedgeOthers
	p.beginNext(ctx)
	return ownerInterval
}

// check finds out whether an owner answers calls.
func (p *pendingCall) check(ctx context.Context, peer Peer) {
	p.client.tasks.Go(func() {
		_, err := p.client.callPeer(cicadawire.VerifyConn(ctx), peer, &Call{Kind: CallCheck, Job: p.call.Job}, checkTimeout)
		p.checked <- err == nil
	})
}

// beginNext begins an attempt at the next owner, unless there is none. An owner at an address that has not been
// tried goes first: a relay that does not answer for one owner does not for another.
func (p *pendingCall) beginNext(ctx context.Context) {
	if len(p.peers) == 0 {
		return
	}
	i := max(slices.IndexFunc(p.peers, func(peer Peer) bool { return peer.Address != p.latest.Address }), 0)
	peer := p.peers[i]
	p.peers = slices.Delete(p.peers, i, i+1)
	p.begin(ctx, peer)
}

// begin begins an attempt at an owner, unless ctx is done.
func (p *pendingCall) begin(ctx context.Context, peer Peer) {
	if ctx.Err() != nil {
		return
	}
	if p.begun > 0 || p.call.Relayed {
		ctx = cicadawire.VerifyConn(ctx)
	}
	p.latest = peer
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
			p.peers = slices.DeleteFunc(p.peers, func(peer Peer) bool { return peer.Address == r.peer.Address })
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
	if p.call.isWrite() && p.unknown {
		if p.refusal != nil {
			p.failure.err = errRefusedLater
		}
		return outcomeUnknown(), &p.failure
	}
	if p.refusal != nil {
		return *p.refusal, nil
	}
	return unavailable(), &p.failure
}
