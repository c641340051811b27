package cicadarelay

import (
	"bytes"
	"strconv"
	"time"
)

var eventEnd = []byte("\n\n")

// maxEventSize limits the size of one event of a stream, in bytes.
const maxEventSize = 1 << 20

// eventParser splits a stream of server-sent events into complete events and
// tracks the id of the last one.
type eventParser struct {
	lastID       string    // of the last complete event that has an id
	partial      []byte    // received bytes of an incomplete event
	firstEventAt time.Time // when the first event was complete
	oversized    bool      // partial exceeds maxEventSize
	numbered     bool      // whether lastNumber is set
	lastNumber   uint64    // of the last complete event whose id is a number
	disordered   bool      // an event has followed whose number is not greater
}

// resumeAfter makes the parser expect events after the one with the given id.
func (p *eventParser) resumeAfter(id string) {
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		p.lastNumber, p.numbered = n, true
	}
}

// reset discards an incomplete event, before the stream is resumed from another
// response.
func (p *eventParser) reset() { p.partial, p.disordered = p.partial[:0], false }

// add appends received bytes and returns the events that they complete, as far as the ids
// increase. The result is valid until the next call.
func (p *eventParser) add(b []byte) []byte {
	data := b
	if len(p.partial) > 0 {
		data = append(p.partial, b...)
	}
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		p.partial = append(p.partial[:0], data...)
		p.oversized = len(data) > maxEventSize
		return nil
	}
	complete := append([]byte(nil), data[:end+len(eventEnd)]...)
	p.partial = append(p.partial[:0], data[end+len(eventEnd):]...)
	complete = complete[:p.inOrder(complete)]
	if p.firstEventAt.IsZero() && len(complete) > 0 {
		p.firstEventAt = time.Now()
	}
	return complete
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
