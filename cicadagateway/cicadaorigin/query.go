package cicadaorigin

import (
	"context"
	"time"

	"cicadalink.example/cicadakernel/cicadaview"
)

// Origin returns the origin of a stream that this process has served, as far as it is known by now.
func (t *Tracker) Origin(stream string) (Origin, bool) { return t.known(stream) }

// Find returns the origin of a stream that a caller resumes on a route with the given
// services. It asks other members if necessary, and fails with ErrUnknown if none that
// replies in time knows the stream.
func (t *Tracker) Find(ctx context.Context, stream string, services []string) (Origin, error) {
	own, ok := t.known(stream)
	if ok && own.Version != cicadaview.UnknownVersion {
		return t.found(stream, own, "own-record")
	}
	a := t.ask(ctx, stream)
	switch {
	case a.origin != nil:
		return t.found(stream, *a.origin, "record-of-member")
	case ok:
		return t.found(stream, own, "own-record")
	}
	if len(services) == 1 && a.versionsConfirmed {
		if version, ok := t.versions.Single(services[0]); ok {
			return t.found(stream, Origin{Service: services[0], Version: version}, "single-version")
		}
	}
	t.metrics.countLookup("unknown")
	return Origin{}, ErrUnknown
}

func (t *Tracker) found(stream string, origin Origin, how string) (Origin, error) {
	t.metrics.countLookup(how)
	t.log.Info("origin found", "stream", stream, "by", how, "service", origin.Service, "software-version", origin.Version)
	return origin, nil
}

func (t *Tracker) known(stream string) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.get(stream, time.Now())
}

// An answer is what other members say of a stream.
type answer struct {
	origin *Origin // nil if none has a record
	// versionsConfirmed is set if a member knows the same versions as this one, and none
	// knows others.
	versionsConfirmed bool
}

// A query is a question to other members that waits for replies.
type query struct {
	waiting   map[string]bool // members that have not replied
	enough    int             // replies without a record, of which one is from a holder
	agreeing  int             // replies of members that know the same versions
	disagrees bool            // whether a member knows other versions
	origin    *Origin
	records   []Record      // to be confirmed by the members that are asked
	done      chan struct{} // closed when no more replies are needed
	closed    bool
}

// add adds a reply of a member. digest is that of the versions that this member knows.
func (q *query) add(from string, r Reply, digest uint64) {
	if !q.waiting[from] {
		return
	}
	delete(q.waiting, from)
	switch r.VersionsDigest {
	case 0: // the member has just started
	case digest:
		q.agreeing++
	default:
		q.disagrees = true
	}
	if r.Origin != nil && (q.origin == nil || q.origin.Version == cicadaview.UnknownVersion) {
		q.origin = r.Origin
	}
	if len(q.waiting) == 0 || q.answered() {
		q.finish()
	}
}

// answered reports whether further replies cannot change the answer.
func (q *query) answered() bool {
	switch {
	case q.origin == nil:
		return len(q.records) == 0 && q.agreeing >= q.enough && !q.disagrees
	case len(q.records) > 0:
		return true
	default:
		return q.origin.Version != cicadaview.UnknownVersion
	}
}

func (q *query) finish() {
	if !q.closed {
		q.closed = true
		close(q.done)
	}
}

// unnamedStream stands for a stream whose caller does not say which it is. No member has a
// record of it.
const unnamedStream = "-"

// ask asks the members that the stream selects, until one knows it, enough have replied, or
// the tries are used up. If there are no other members, what this one knows is confirmed.
func (t *Tracker) ask(ctx context.Context, stream string) answer {
	if stream == "" {
		stream = unnamedStream
	}
	q := &query{waiting: make(map[string]bool), done: make(chan struct{})}
	t.mu.Lock()
	for _, member := range rank(stream, t.members, askedMembers) {
		q.waiting[member] = true
	}
	if len(q.waiting) == 0 {
		t.mu.Unlock()
		return answer{versionsConfirmed: true}
	}
	q.enough = max(len(q.waiting)-holders+1, 1)
	t.mu.Unlock()
	return t.await(ctx, stream, q)
}

// await sends a query to its members until it is answered or the tries are used up.
func (t *Tracker) await(ctx context.Context, stream string, q *query) answer {
	t.mu.Lock()
	t.queries[stream] = append(t.queries[stream], q)
	t.mu.Unlock()
	defer t.removeQuery(stream, q)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for tries := 0; ; {
		select {
		case <-q.done:
			return t.answer(q)
		case <-ctx.Done():
			return answer{}
		case <-timer.C:
		}
		if tries++; tries > lookupTries {
			return t.answer(q)
		}
		for _, member := range t.unanswered(q) {
			t.send(member, Message{From: t.self, Records: q.records, Query: stream})
		}
		timer.Reset(lookupInterval)
	}
}

func (t *Tracker) unanswered(q *query) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]string, 0, len(q.waiting))
	for member := range q.waiting {
		members = append(members, member)
	}
	return members
}

func (t *Tracker) answer(q *query) answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return answer{origin: q.origin, versionsConfirmed: q.agreeing > 0 && !q.disagrees}
}

func (t *Tracker) removeQuery(stream string, q *query) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rest []*query
	for _, other := range t.queries[stream] {
		if other != q {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		delete(t.queries, stream)
		return
	}
	t.queries[stream] = rest
}

func (t *Tracker) applyReply(from string, r Reply) {
	digest := t.versions.Digest()
	for _, q := range t.queries[r.Stream] {
		q.add(from, r, digest)
	}
}
