// Package cicadaorigin remembers where streams began: at which service, and at which
// version of its software. What two versions write does not fit together, so a stream
// that breaks off may be continued only by an endpoint of the version that began it, also
// if its caller resumes it at another entry, and also if the first entry has just failed.
//
// While more than one version of a service may have streams in progress, the entry that
// begins a stream sends a record of its origin to a few members that the id of the stream
// selects by rendezvous hashing, before the caller gets the first event. An entry to which
// the caller returns asks the members that the id selects from its own list. While only
// one version serves, and all members agree on that, no records are sent. The entry asks all
// the same: what it knows of the versions may be old without its knowledge, as after it was
// suspended or cut off, and counts only if a member confirms it after the caller's return.
//
// The version of an endpoint is that of the incarnation which serves the stream, see
// Incarnation. One that has not registered yet has a version that nobody knows, and a record
// without a version says so until it has.
//
// # Usage
//
//	versions := cicadaorigin.NewVersions()
//	tracker := cicadaorigin.NewTracker("entry-1", versions, cicadaorigin.WithSend(send))
//	tracker.SetMembers(members)
//	tracker.Begin(id, cicadaorigin.Origin{Service: "assistants", Version: "v2"}, false)
//	defer tracker.End(id)
//
// and where the caller resumes the stream
//
//	origin, err := tracker.Find(ctx, id, []string{"assistants"})
//	if errors.Is(err, cicadaorigin.ErrUnknown) { ... the stream cannot be continued ... }
//
// Times are those of the monotonic clock.
package cicadaorigin

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadakernel/cicadaview"
)

// ErrUnknown reports that nothing that was reached knows where a stream began.
var ErrUnknown = merry.Sentinel("cicadaorigin: unknown origin")

const (
	// Lifetime is the longest time from the beginning of a stream to a request that resumes
	// it.
	Lifetime = 30 * time.Second
	// holders is the number of other members that get the record of a stream.
	holders = 3
	// askedMembers is the number of members that are asked for a record. It exceeds holders
	// because the lists of members of two entries may differ.
	askedMembers = 5
	// lookupTries is how often members are asked that have not replied, and lookupInterval
	// the time between the tries.
	lookupTries    = 3
	lookupInterval = 30 * time.Millisecond
	// maxRecords limits the records that a member keeps.
	maxRecords = 1 << 16
	// maxMessageRecords limits the records in one message.
	maxMessageRecords = 64
)

// An Origin is the service and the version of its software that began a stream.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
}

// A Record is the origin of one stream.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Stream string   // id of the request that got the stream's first event
	Origin Origin
}

// A Message is sent from one member to another.
type Message struct {
	// From is the name of the sender of a query or a reply.
	From string `cbor:"1,keyasint,omitempty"`
	// Records are to be kept by the receiver.
	Records []Record `cbor:"2,keyasint,omitempty"`
	// Query asks for the record of a stream.
	Query string `cbor:"3,keyasint,omitempty"`
	// Reply answers a query.
	Reply *Reply `cbor:"4,keyasint,omitempty"`
}

// A Reply answers a query for the record of a stream.
type Reply struct {
	Stream string `cbor:"1,keyasint"`
	// Origin is nil if the member has no record of the stream.
	Origin *Origin `cbor:"2,keyasint,omitempty"`
	// VersionsDigest is that of the versions that the member knows, see Versions.Digest.
	VersionsDigest uint64 `cbor:"3,keyasint,omitempty"`
}

// A Tracker keeps the origins of the streams that this process serves, and of those that
// other members have recorded here. It is safe for concurrent use.
type Tracker struct {
	self     string
	versions *Versions
	send     func(member string, m Message)
	log      hclog.Logger
	metrics  metrics

	mu      sync.Mutex
	members []memberHash
	records recordSet
	running map[string]*runningStream
	// unregistered holds the streams whose versions are not known yet.
	unregistered map[string]unregisteredStream
	queries      map[string][]*query // by stream
}

// A runningStream is a stream that this process serves.
type runningStream struct {
	origin   Origin
	recorded bool // at other members
}

// An unregisteredStream is a stream that began at an incarnation which was not registered then.
type unregisteredStream struct {
	service string
	at      Incarnation
	since   time.Time
}

// An Option configures a Tracker.
type Option func(*Tracker)

// WithSend sets the function that sends a message to another member. Messages may be lost.
func WithSend(send func(member string, m Message)) Option {
	return func(t *Tracker) { t.send = send }
}

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option {
	return func(t *Tracker) { t.metrics = newMetrics(scope) }
}

// WithLog sets the log of what lookups rest on.
func WithLog(log hclog.Logger) Option {
	return func(t *Tracker) { t.log = log }
}

// NewTracker returns a Tracker without records for the named member.
func NewTracker(self string, versions *Versions, opts ...Option) *Tracker {
	t := &Tracker{
		self: self, versions: versions, send: func(string, Message) {}, log: hclog.NewNullLogger(), metrics: newMetrics(tally.NoopScope),
		running: make(map[string]*runningStream), unregistered: make(map[string]unregisteredStream), queries: make(map[string][]*query),
	}
	t.records.byStream = make(map[string]storedRecord)
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetMembers sets the names of the other members that are live.
func (t *Tracker) SetMembers(members []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = hashMembers(members)
}

// Begin records that a stream has begun or goes on in this process. It must be called
// before the caller gets the first event. If shared is set, the stream's route has other
// services too, so that its origin is recorded at other members in any case, as is that of a
// version which is not registered. Sending does not block.
func (t *Tracker) Begin(stream string, origin Origin, shared bool) {
	recorded := shared || t.versions.Recorded(origin.Service) || !t.versions.registered(origin)
	t.mu.Lock()
	t.records.add(Record{Stream: stream, Origin: origin}, time.Now())
	t.running[stream] = &runningStream{origin: origin, recorded: recorded}
	t.mu.Unlock()
	if recorded {
		t.sendRecord(Record{Stream: stream, Origin: origin})
	}
}

// ErrUnrecorded reports that no other member has confirmed the record of a stream.
var ErrUnrecorded = merry.Sentinel("cicadaorigin: origin not recorded")

// BeginUnregistered records that a stream has begun at an incarnation of an endpoint that is not
// registered yet. Until it is, the stream has an origin of unknown version, which no endpoint can
// continue. If none of the members that are to keep the record confirms that in time, it fails with
// ErrUnrecorded, and the caller must not get an event: the members would take the stream for
// one of a version that they know.
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

// sendRecord sends a record to the members that are to hold it.
func (t *Tracker) sendRecord(r Record) {
	t.mu.Lock()
	to := rank(r.Stream, t.members, holders)
	t.mu.Unlock()
	t.metrics.recordsSent.Inc(int64(len(to)))
	for _, member := range to {
		t.send(member, Message{Records: []Record{r}})
	}
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

// Origin returns the origin of a stream that this process has served, as far as it is known by now.
func (t *Tracker) Origin(stream string) (Origin, bool) { return t.known(stream) }

// End records that this process no longer serves a stream. Its origin is still known.
func (t *Tracker) End(stream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, stream)
}

// Update records the origins of the running streams of services for which this has become
// necessary. It must be called after versions has changed.
func (t *Tracker) Update() {
	t.updateUnregistered()
	t.mu.Lock()
	batches := make(map[string][]Record)
	for stream, s := range t.running {
		if s.recorded || !t.versions.Recorded(s.origin.Service) {
			continue
		}
		s.recorded = true
		for _, member := range rank(stream, t.members, holders) {
			batches[member] = append(batches[member], Record{Stream: stream, Origin: s.origin})
		}
	}
	t.mu.Unlock()
	for member, records := range batches {
		t.metrics.recordsSent.Inc(int64(len(records)))
		for len(records) > 0 {
			n := min(len(records), maxMessageRecords)
			t.send(member, Message{Records: records[:n]})
			records = records[n:]
		}
	}
}

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

// Receive handles a message of another member.
func (t *Tracker) Receive(m Message) {
	now := time.Now()
	t.mu.Lock()
	for _, r := range m.Records {
		t.records.add(r, now)
	}
	if m.Reply != nil {
		t.applyReply(m.From, *m.Reply)
	}
	var reply *Reply
	if m.Query != "" {
		reply = &Reply{Stream: m.Query, VersionsDigest: t.versions.Digest()}
		if origin, ok := t.records.get(m.Query, now); ok {
			reply.Origin = &origin
		}
	}
	t.mu.Unlock()
	t.metrics.recordsReceived.Inc(int64(len(m.Records)))
	if reply != nil {
		t.send(m.From, Message{From: t.self, Reply: reply})
	}
}

func (t *Tracker) applyReply(from string, r Reply) {
	digest := t.versions.Digest()
	for _, q := range t.queries[r.Stream] {
		q.add(from, r, digest)
	}
}
