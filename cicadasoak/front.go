package main

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// retryAfterLimit is what the store states when it refuses a call beyond its rate.
const retryAfterLimit = "0.5"

// lagPollInterval is how often a watch that lags looks for events.
const lagPollInterval = 50 * time.Millisecond

// storeFaults are what a front of the store does to its process, besides refusing it.
type storeFaults struct {
	silent   atomic.Bool  // calls get no answer, and are executed late if the process still waits
	unheard  atomic.Bool  // calls are executed but get no answer
	limiting atomic.Bool  // calls are beyond the rate
	lag      atomic.Int64 // in nanoseconds, of watches
	slowness atomic.Int64 // in nanoseconds, between what a call does and its answer
}

// disturb disturbs a call. It reports whether the call has been dealt with.
func (f *storeFaults) disturb(w http.ResponseWriter, r *http.Request) bool {
	for f.silent.Load() {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(lagPollInterval):
		}
	}
	if f.limiting.Load() {
		w.Header().Set("Retry-After", retryAfterLimit)
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	}
	return false
}

// hold delays the answer of a call that was executed, so that it is old when it arrives. If answers get
// lost, it waits until the connection is closed.
func (f *storeFaults) hold(r *http.Request) {
	time.Sleep(time.Duration(f.slowness.Load()))
	if f.unheard.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// asOfTime returns the events of a kind up to a time, and the revision at that time.
func (s *store) asOfTime(kind string, at time.Time) (events []storeEvent, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision = 1
	for _, e := range s.events {
		if e.at.After(at) {
			break
		}
		revision = e.Object.Meta.Revision
		if e.kind == kind {
			events = append(events, e)
		}
	}
	return events, revision
}

// watchLate waits for events that come late.
func (s *store) watchLate(r *http.Request, kind string, lag time.Duration) (int, any) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	page := watchPage{Events: []storeEvent{}}
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(lagPollInterval) {
		events, revision := s.asOfTime(kind, time.Now().Add(-lag))
		for _, e := range events {
			if e.Object.Meta.Revision > from {
				page.Events = append(page.Events, e)
			}
		}
		page.AsOf = max(from, revision)
		if len(page.Events) > 0 || time.Now().After(end) || r.Context().Err() != nil {
			return http.StatusOK, page
		}
	}
}
