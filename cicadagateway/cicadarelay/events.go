package cicadarelay

import (
	"bytes"
	"time"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// events cuts a stream into whole events and knows the id of the last one.
type events struct {
	last    string // id of the last whole event
	partial []byte // the beginning of an event whose end has not come
	first   time.Time
	corrupt bool
}

// reset drops the beginning of an event: the stream goes on anew.
func (e *events) reset() { e.partial = e.partial[:0] }

// add takes in bytes and returns the whole events among them. The result is
// valid until the next call.
func (e *events) add(b []byte) []byte {
	data := b
	if len(e.partial) > 0 {
		data = append(e.partial, b...)
	}
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		e.partial = append(e.partial[:0], data...)
		e.corrupt = len(data) > maxEvent
		return nil
	}
	whole := append([]byte(nil), data[:end+2]...)
	e.partial = append(e.partial[:0], data[end+2:]...)
	if id := lastID(whole); id != "" {
		e.last = id
	}
	if e.first.IsZero() {
		e.first = time.Now()
	}
	return whole
}

// lastID returns the value of the last id line.
func lastID(whole []byte) string {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case at >= 0:
		whole = whole[at+4:]
	case bytes.HasPrefix(whole, []byte("id:")):
		whole = whole[3:]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(whole, []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// firstAfter returns how long after start the first event came, or 0.
func (e *events) firstAfter(start time.Time) time.Duration {
	if e.first.IsZero() {
		return 0
	}
	return e.first.Sub(start)
}
