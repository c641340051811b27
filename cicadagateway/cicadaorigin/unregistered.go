package cicadaorigin

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaview"
)

// An unregisteredStream is a stream that began at an incarnation which was not registered then.
type unregisteredStream struct {
	service string
	at      Incarnation
	since   time.Time
}

// ErrUnrecorded reports that no other member has confirmed the record of a stream.
var ErrUnrecorded = merry.Sentinel("cicadaorigin: origin not recorded")

// BeginUnregistered records that a stream has begun at an incarnation of an endpoint that is not
// registered yet, or whose start is not known (at.StartedMs is then not positive). Until it is
// registered, the stream has an origin of unknown version, which no endpoint can continue. If none
// of the members that are to keep the record confirms that in time, it fails with ErrUnrecorded,
// and the caller must not get an event: the members would take the stream for one of a version
// that they know.
func (t *Tracker) BeginUnregistered(ctx context.Context, stream, service string, at Incarnation) error {
	t.metrics.unregistered.Inc(1)
	r := Record{Stream: stream, Origin: Origin{Service: service, Version: cicadaview.UnknownVersion}}
	t.mu.Lock()
	t.unregistered[stream] = unregisteredStream{service: service, at: at, since: time.Now()}
	t.records.add(r, time.Now())
	t.running[stream] = &runningStream{origin: r.Origin, recorded: true}
	t.mu.Unlock()
	if version, ok := t.versions.VersionOf(at); ok { // registered meanwhile
		t.setVersion(stream, version)
		return nil
	}
	if !t.confirm(ctx, r) {
		t.forget(stream)
		return ErrUnrecorded
	}
	return nil
}

// confirm sends a record to the members that are to hold it, until one of them has confirmed it. It
// reports true if there are no other members.
func (t *Tracker) confirm(ctx context.Context, r Record) bool {
	q := &query{waiting: make(map[string]bool), done: make(chan struct{}), records: []Record{r}}
	t.mu.Lock()
	for _, member := range rank(r.Stream, t.members, holders) {
		q.waiting[member] = true
	}
	alone := len(q.waiting) == 0
	t.mu.Unlock()
	if alone {
		return true
	}
	t.metrics.recordsSent.Inc(int64(len(q.waiting)))
	return t.await(ctx, r.Stream, q).origin != nil
}

// forget removes what this process knows of a stream.
func (t *Tracker) forget(stream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unregistered, stream)
	delete(t.running, stream)
	delete(t.records.byStream, stream)
}

// updateUnregistered records the versions of streams whose incarnations have been registered since
// the streams began.
func (t *Tracker) updateUnregistered() {
	now, found := time.Now(), make(map[string]string)
	t.mu.Lock()
	for stream, u := range t.unregistered {
		version, ok := t.versions.VersionOf(u.at)
		switch {
		case ok:
			found[stream] = version
		case now.Sub(u.since) > Lifetime:
			delete(t.unregistered, stream)
		}
	}
	t.mu.Unlock()
	for stream, version := range found {
		t.setVersion(stream, version)
	}
}

// setVersion records the version of a stream that began at an unregistered incarnation.
func (t *Tracker) setVersion(stream, version string) {
	t.mu.Lock()
	u, ok := t.unregistered[stream]
	if !ok {
		t.mu.Unlock()
		return
	}
	delete(t.unregistered, stream)
	r := Record{Stream: stream, Origin: Origin{Service: u.service, Version: version}}
	t.records.add(r, time.Now())
	if s := t.running[stream]; s != nil {
		s.origin = r.Origin
	}
	t.mu.Unlock()
	t.log.Info("version of stream found", "stream", stream, "software-version", version)
	t.sendRecord(r)
}
