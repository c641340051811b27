// Package cicadatask runs the goroutines that a process consists of, and makes sure that
// none of them ends or stops unnoticed.
//
// The rule for the whole product: a panic in a goroutine that keeps state, or a loop that
// makes no progress, ends the process. It first shuts down as after a signal, so that peers
// take over its work, and whoever started it starts it again. A panic while one request, call
// or item is served is contained by Try: the request fails, and the process goes on, as the
// same request would otherwise end one process after another.
//
// # Usage
//
//	type Owner struct {
//		tasks cicadatask.Group
//	}
//
//	watch := cicadatask.NewWatch(ctx, "event loop", 10*time.Second)
//	o.tasks.Go(func() {
//		for {
//			watch.Progress()
//			select { ... }
//		}
//	})
//
//	err := cicadatask.Try(func() { resp = o.serve(call) })
//
// The program's main function handles failures with HandleFailures. Without a handler, as in
// most tests, a failure is an ordinary panic of its goroutine. Where a function waits for its
// goroutines before it returns, conc.WaitGroup is enough, as its Wait passes panics on.
package cicadatask

import (
	"sync"

	"github.com/sourcegraph/conc/panics"
)

// A Group is a set of goroutines. The zero value is ready to use. Unlike conc.WaitGroup it
// does not keep a panic for Wait, which may never be called.
type Group struct{ tasks sync.WaitGroup }

// Go runs f in a goroutine. A panic of f is a failure of the process.
func (g *Group) Go(f func()) {
	g.tasks.Go(func() {
		if recovered := panics.Try(f); recovered != nil {
			fail(&Failure{reason: ReasonPanic, detail: recovered.String()})
		}
	})
}

// Wait waits until all goroutines of the group have returned.
func (g *Group) Wait() { g.tasks.Wait() }

// Try runs f and returns its panic, if any, as a *Failure.
func Try(f func()) error {
	if recovered := panics.Try(f); recovered != nil {
		return &Failure{reason: ReasonPanic, detail: recovered.String()}
	}
	return nil
}

// Reasons of failures.
const (
	ReasonPanic = "panic" // of a goroutine
	ReasonStall = "stall" // of a loop, which makes no progress
	ReasonError = "error" // that ended a goroutine without which the process is of no use
)

// A Failure is why a process cannot go on.
type Failure struct {
	reason string
	detail string
}

// Error returns the reason and the detail, with the stack.
func (f *Failure) Error() string { return f.reason + ": " + f.detail }

// Reason returns one of the reasons above.
func (f *Failure) Reason() string { return f.reason }

var failures struct {
	mu     sync.Mutex
	handle func(*Failure) // nil if failures are panics
}

// HandleFailures sets the function that is called with each failure of the process, instead
// of a panic. The returned function ends that.
func HandleFailures(handle func(*Failure)) (stop func()) {
	failures.mu.Lock()
	defer failures.mu.Unlock()
	failures.handle = handle
	return func() {
		failures.mu.Lock()
		defer failures.mu.Unlock()
		failures.handle = nil
	}
}

// Fail reports that a goroutine without which the process is of no use has ended with an
// error.
func Fail(err error) { fail(&Failure{reason: ReasonError, detail: err.Error()}) }

func fail(f *Failure) {
	failures.mu.Lock()
	handle := failures.handle
	failures.mu.Unlock()
	if handle == nil {
		panic(f)
	}
	handle(f)
}
