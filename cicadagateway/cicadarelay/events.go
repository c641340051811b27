package cicadarelay

import (
	"bytes"
	"time"
)

// maxEventSize limits the size of one event of a stream, in bytes.
const maxEventSize = 1 << 20

// eventParser splits a stream of server-sent events into complete events and
// tracks the id of the last one.
type eventParser struct {
	lastID       string    // of the last complete event that has an id
	partial      []byte    // received bytes of an incomplete event
	firstEventAt time.Time // when the first event was complete
	oversized    bool      // partial exceeds maxEventSize
}

// reset discards an incomplete event, before the stream is resumed from another
// response.
func (p *eventParser) reset() { p.partial = p.partial[:0] }

// add appends received bytes and returns the events that they complete. The result
// is valid until the next call.
func (p *eventParser) add(b []byte) []byte {
	data := b
	if len(p.partial) > 0 {
		data = append(p.partial, b...)
	}
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		p.partial = append(p.partial[:0], data...)
		p.oversized = len(data) > maxEventSize
		return nil
	}
	complete := append([]byte(nil), data[:end+2]...)
	p.partial = append(p.partial[:0], data[end+2:]...)
	if id := lastEventID(complete); id != "" {
		p.lastID = id
	}
	if p.firstEventAt.IsZero() {
		p.firstEventAt = time.Now()
	}
	return complete
}

// lastEventID returns the value of the last id field in the events, or "".
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+4:]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[3:]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// timeToFirst returns the time from start to the first event, or 0 if there was
// none.
func (p *eventParser) timeToFirst(start time.Time) time.Duration {
	if p.firstEventAt.IsZero() {
		return 0
	}
	return p.firstEventAt.Sub(start)
}
