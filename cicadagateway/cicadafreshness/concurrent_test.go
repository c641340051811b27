package cicadafreshness

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against data races and deadlocks between requests, the follower, the receiver of messages
// and the periodic work, whose functions call the Tracker back.
func TestConcurrentUse(t *testing.T) {
	const calls = 1000
	var a, b *Tracker
	opts := func(self **Tracker) []Option {
		return []Option{
			WithMembers(func() []string { return []string{"a", "b"} }), WithCoordinator(func() string { return "a" }),
			WithRead(func() { (*self).RecordRead(1, (*self).clock()) }), WithOnNewer(func(v int64) { (*self).SetVersion(v) }),
		}
	}
	a = New("a", testLimit, func(_ string, m Message) { b.Receive(m) }, opts(&a)...)
	b = New("b", testLimit, func(_ string, m Message) { a.Receive(m) }, opts(&b)...)
	var wg sync.WaitGroup
	for _, run := range []func(i int){
		func(int) { a.Tick(); b.Tick() },
		func(i int) { a.SetVersion(int64(1 + i/2)); a.RecordRead(int64(1+i/2), a.clock()) },
		func(int) { a.Fresh(); b.Fresh() },
		func(i int) { b.Receive(Message{From: "a", Query: &Query{Stamp: time.Duration(i)}}) },
	} {
		wg.Go(func() {
			for i := range calls {
				run(i)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, a.Fresh())
}
