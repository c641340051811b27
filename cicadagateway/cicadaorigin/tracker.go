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
// of unknown version says so until it has.
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
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
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
