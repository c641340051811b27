package cicadaratelimit

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// pair is two entries, of which only the first serves a customer whose home is the second.
type pair struct {
	entry, home *Limiter
	customer    string

	mu       sync.Mutex
	requests int  // from entry to home
	lost     int  // number of requests that are still to be lost
	noReply  bool // all replies are lost
}

const transit = 3 * time.Millisecond

func newPair(t *testing.T, opts ...Option) *pair {
	t.Helper()
	p := &pair{}
	members := func() Members { return Members{Live: []string{"entry", "home"}, Known: 2} }
	send := func(member string, m Message) {
		p.mu.Lock()
		defer p.mu.Unlock()
		to := p.home
		if member == "entry" {
			to = p.entry
		}
		if m.Request != nil && m.Request.Want > 0 {
			p.requests++
			if p.lost > 0 {
				p.lost--
				return
			}
		}
		if m.Reply == nil || !p.noReply {
			time.AfterFunc(transit, func() { to.Receive(m) })
		}
	}
	p.entry, p.home = New("entry", members, send, opts...), New("home", members, send, opts...)
	for i := 0; p.customer == ""; i++ {
		if name := fmt.Sprint("customer-", i); newViewOf("entry", "home").home(name, "") == "home" {
			p.customer = name
		}
	}
	p.tick(startupPeriod)
	return p
}

func newViewOf(names ...string) *view {
	v := newView(names[0])
	v.set(Members{Live: names, Known: len(names)}, time.Unix(0, 0))
	return v
}

// tick lets time pass.
func (p *pair) tick(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(TickInterval)
		p.entry.Tick()
		p.home.Tick()
	}
}

// Guards against a request to the home entry for each of the requests that wait at the same
// time.
func TestOneRequestServesAllThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		limit := Limit{100, 50}
		p.tick(time.Second)
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				d := p.entry.Acquire(t.Context(), p.customer, limit)
				assert.Check(t, d.Allowed())
				assert.Check(t, d.Known())
				assert.Check(t, d.Home() == "home")
			})
		}
		wg.Wait()
		assert.Assert(t, p.requests <= 2, "%d requests", p.requests)
	})
}

// Guards against requests that are refused, or held up, because one message was lost.
func TestLostRequestIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.lost = 1
		start := time.Now()
		assert.Assert(t, p.entry.Acquire(t.Context(), p.customer, Limit{10, 10}).Allowed())
		assert.Equal(t, time.Since(start), replyTimeout+2*transit)
	})
}

// Guards against callers that are told that they exceed a limit which is not known.
func TestUnreachableHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.noReply = true
		start := time.Now()
		d := p.entry.Acquire(t.Context(), p.customer, Limit{10, 10})
		assert.Equal(t, time.Since(start), maxTimeouts*replyTimeout)
		assert.Assert(t, !d.Allowed() && !d.Known())
		assert.Equal(t, d.RetryAfter(), unknownRetryAfter)
		assert.Equal(t, d.String(), `limit not known, retry after 1.2s, home "home"`)
	})
}

// Guards against a limit at the home that differs from its configuration, and against requests
// of customers that it doesn't know.
func TestHomeUsesItsOwnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, WithSlack(0), WithLimitOf(func(customer string) (Limit, bool) {
			return Limit{1, 2}, strings.HasPrefix(customer, "customer-")
		}))
		p.tick(5 * time.Second)
		allowed := 0
		for range 10 {
			if p.entry.Acquire(t.Context(), p.customer, Limit{1000, 1000}).Allowed() {
				allowed++
			}
		}
		assert.Equal(t, allowed, 2)
		p.tick(2 * time.Second)
		d := p.entry.Acquire(t.Context(), "stranger", Limit{1000, 1000})
		assert.Assert(t, !d.Allowed() && !d.Known())
	})
}

// Guards against tokens that are lost with requests that no endpoint got.
func TestReturnedTokensAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, WithSlack(0))
		limit := Limit{1, 4}
		p.tick(5 * time.Second)
		for range 50 {
			assert.Assert(t, p.entry.Acquire(t.Context(), p.customer, limit).Allowed())
			p.entry.Return(p.customer)
		}
	})
}

// Guards against callers that are refused without being told to wait, who would come back at once, while
// this entry refuses all.
func TestRefusedCallersAreToldToWait(t *testing.T) {
	now := time.Unix(100, 0)
	c := &customer{refusedUntil: now.Add(minBackoff), retryAt: now.Add(2 * time.Millisecond), retryStep: 5 * time.Millisecond}
	assert.Equal(t, c.refuse(now).RetryAfter(), 2*time.Millisecond)
	later := now.Add(minBackoff - time.Millisecond) // nobody was refused meanwhile
	assert.Equal(t, c.refuse(later).RetryAfter(), time.Millisecond)
	assert.Equal(t, c.refuse(later).RetryAfter(), 6*time.Millisecond)
}

// Guards against a token that is lost because its request was cancelled while it waited.
func TestCancelledRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, WithSlack(0))
		limit := Limit{1, 1}
		p.tick(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		d := p.entry.Acquire(ctx, p.customer, limit)
		assert.Assert(t, !d.Allowed() && !d.Known())
		time.Sleep(2 * transit)
		assert.Assert(t, p.entry.Acquire(t.Context(), p.customer, limit).Allowed())
	})
}

// Guards against an entry without others that refuses all requests, and against one that
// grants the whole limit before it may have heard others.
func TestSingleEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("entry", func() Members { return Members{Live: []string{"entry"}, Known: 1} }, func(string, Message) { t.Error("sent") })
		assert.Assert(t, !l.Acquire(t.Context(), "c", Limit{10, 10}).Known())
		time.Sleep(startupPeriod)
		d := l.Acquire(t.Context(), "c", Limit{10, 10})
		assert.Assert(t, d.Allowed())
		assert.Equal(t, d.Home(), "entry")
		assert.Assert(t, l.Acquire(t.Context(), "unlimited", Limit{}).Allowed())
	})
}

// Guards against state that is kept for customers that are no longer active.
func TestIdleStateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		for i := range 100 {
			p.entry.Acquire(t.Context(), fmt.Sprint("customer-", i), Limit{1, 1})
		}
		assert.Assert(t, len(p.entry.customers) == 100)
		p.tick(customerIdleTime + time.Second)
		assert.Equal(t, len(p.entry.customers), 0)
		p.tick(bucketIdleTime)
		assert.Equal(t, len(p.entry.homes)+len(p.home.homes), 0)
	})
}

// Guards against messages that another decoder takes for its own, and against large ones.
func TestMessageEncoding(t *testing.T) {
	request := Request{
		ID: 1 << 60, Customer: "customer-of-usual-length", PerSecond: 190, Burst: 190, Want: 60, Waiting: 40,
		Refused: 100, Unused: 3, Bucket: 1 << 63, Spent: 10, InsteadOf: "entry-22",
	}
	reply := Reply{
		ID: 1 << 60, Customer: "customer-of-usual-length", Tokens: 60, Bucket: 1 << 63, Initial: 10,
		NextMicros: 1 << 20, RetryMicros: 1 << 20, StepMicros: 1 << 16,
	}
	missing := make([]string, maxMissing)
	for i := range missing {
		missing[i] = fmt.Sprint("entry-", i)
	}
	v := View{Live: 1 << 63, Missing: missing, Known: 730}
	for _, test := range []struct {
		m    Message
		most int
	}{{Message{From: "entry-1", Request: &request}, 130}, {Message{From: "entry-1", Reply: &reply}, 110}, {Message{From: "entry-1", View: &v}, 350}} {
		b, err := cbor.Marshal(test.m)
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= test.most, "%d bytes", len(b))
		var keys map[int]cbor.RawMessage
		assert.NilError(t, cbor.Unmarshal(b, &keys))
		for key := range keys {
			assert.Assert(t, key >= 20)
		}
		var decoded Message
		assert.NilError(t, cbor.Unmarshal(b, &decoded))
		assert.DeepEqual(t, decoded, test.m)
	}
}

// Guards against data races between requests, messages and periodic work.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				for range 50 {
					if p.entry.Acquire(t.Context(), fmt.Sprint("customer-", i%4), Limit{100, 10}).Allowed() && i%3 == 0 {
						p.entry.Return(fmt.Sprint("customer-", i%4))
					}
					time.Sleep(time.Duration(i) * time.Millisecond)
				}
			})
		}
		wg.Go(func() { p.tick(time.Second) })
		wg.Wait()
	})
}
