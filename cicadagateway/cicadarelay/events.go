package cicadarelay

import (
	"bytes"
	"strconv"
	"time"

	"cicadalink.example/cicadakernel/cicadamemory"
)

var eventEnd = []byte("\n\n")

// maxEventSize limits the size of one event of a stream, in bytes.
const maxEventSize = 1 << 20

// eventParser splits a stream of server-sent events into complete events and
// tracks the id of the last one.
type eventParser struct {
	lastID       string    // of the last complete event that has an id
	partial      []byte    // received bytes of an incomplete event, after sent bytes of complete ones
	sent         int       // bytes of partial that the last add has returned
	firstEventAt time.Time // when the first event was complete
	oversized    bool      // partial exceeds maxEventSize
	numbered     bool      // whether lastNumber is set
	lastNumber   uint64    // of the last complete event whose id is a number
	disordered   bool      // an event has followed whose number is not greater
	// held is the memory of partial.
	held *cicadamemory.Reservation
}

// resumeAfter makes the parser expect events after the one with the given id.
func (p *eventParser) resumeAfter(id string) {
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		p.lastNumber, p.numbered = n, true
	}
}

// reset discards an incomplete event, before the stream is resumed from another
// response.
func (p *eventParser) reset() { p.partial, p.sent, p.disordered = p.partial[:0], 0, false }

// release gives back the memory of an incomplete event.
func (p *eventParser) release() {
	p.partial, p.sent = nil, 0
	p.held.Release()
}

// incomplete reports whether bytes of an incomplete event were received.
func (p *eventParser) incomplete() bool { return len(p.partial) > p.sent }

// add appends received bytes and returns the events that they complete, as far as the ids
// increase. The result is valid until the next call. It fails with cicadamemory.ErrExhausted if
// there is no memory for an incomplete event.
func (p *eventParser) add(b []byte) ([]byte, error) {
	p.partial, p.sent = append(p.partial[:0], p.partial[p.sent:]...), 0
	known := len(p.partial)
	if known == 0 {
		if cap(p.partial) > maxIdlePartialSize {
			p.release()
		}
		return p.addFirst(b)
	}
	if err := p.hold(b); err != nil {
		return nil, err
	}
	end := bytes.LastIndex(p.partial[known-1:], eventEnd)
	if end < 0 {
		p.oversized = len(p.partial) > maxEventSize
		return nil, nil
	}
	p.sent = known - 1 + end + len(eventEnd)
	return p.complete(p.partial[:p.sent]), nil
}

// addFirst is add after no incomplete event. It copies only what remains after the complete
// events.
func (p *eventParser) addFirst(b []byte) ([]byte, error) {
	end := bytes.LastIndex(b, eventEnd) + len(eventEnd)
	if end < len(eventEnd) {
		end = 0
	}
	if err := p.hold(b[end:]); err != nil {
		return nil, err
	}
	return p.complete(b[:end]), nil
}

// complete returns the complete events whose ids increase.
func (p *eventParser) complete(events []byte) []byte {
	events = events[:p.inOrder(events)]
	if p.firstEventAt.IsZero() && len(events) > 0 {
		p.firstEventAt = time.Now()
	}
	return events
}

const (
	minPartialSize = 4 << 10 // bytes
	partialGrowth  = 4       // partial grows by this part of its size
	// maxIdlePartialSize limits the memory that is kept for the next incomplete event, in bytes.
	maxIdlePartialSize = 64 << 10
)

// hold appends bytes to partial, whose memory is reserved before it is allocated.
func (p *eventParser) hold(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	size := len(p.partial) + len(b)
	if size <= cap(p.partial) {
		p.partial = append(p.partial, b...)
		return nil
	}
	size = max(size+size/partialGrowth, minPartialSize)
	if err := p.held.Grow(int64(size)); err != nil {
		return err
	}
	p.partial = append(append(make([]byte, 0, size), p.partial...), b...)
	return p.held.Resize(int64(size))
}

// inOrder returns the length of the events whose ids increase, and records the last of them.
func (p *eventParser) inOrder(events []byte) int {
	length := 0
	for length < len(events) {
		end := length + bytes.Index(events[length:], eventEnd) + len(eventEnd)
		id := lastEventID(events[length:end])
		if n, err := strconv.ParseUint(id, 10, 64); err == nil {
			if p.numbered && n <= p.lastNumber {
				p.disordered = true
				return length
			}
			p.lastNumber, p.numbered = n, true
		}
		if id != "" {
			p.lastID = id
		}
		length = end
	}
	return length
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
