package cicadabatch

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Progress is how far an item has come, for another owner or for this one after
// a restart.
type Progress struct {
	Item string
	// From is the last event that the receiver is taken to have: Text begins after
	// it. At 0 the progress is whole. Base is the hash of the output up to From. Two
	// owners may have run the item, and what one run put out must not be continued
	// with what another one did.
	From     int
	Base     uint64
	Last     int    // id of the last event in Text
	Text     string // output
	Failures int
	State    string // the item's result if it has one that is not listed
	// Listed says that the item's result is listed, and its progress needless.
	Listed bool
}

// partial is what an item's runs have put out so far.
type partial struct {
	output   strings.Builder
	last     int // id of the last event in output
	failures int // answers that say the item failed
}

// take adds what a progress tells. It reports false if the progress goes on from
// another output than this one.
func (t *partial) take(p Progress) bool {
	t.failures = max(t.failures, p.Failures)
	switch {
	case p.Last <= t.last:
		return true
	case p.From == 0:
		t.output.Reset()
	case p.From == t.last && p.Base == xxhash.Sum64String(t.output.String()):
	default:
		return false
	}
	t.output.WriteString(p.Text)
	t.last = p.Last
	return true
}

// progress returns all that is known of an item that does not run.
func (it *item) progress() Progress {
	return Progress{Item: it.ID, Last: it.last, Text: it.output.String(), Failures: it.failures}
}

// reached returns the last event of an item, also while it runs.
func (it *item) reached() int {
	if it.state != itemRunning {
		return it.last
	}
	_, last := it.run.soFar()
	return last
}

// A mark says how much of an item's progress has been passed on.
type mark struct {
	event    int
	length   int // of the output up to event, in bytes
	failures int
	state    itemState
}

// news returns what has become of an item since a mark, and the next mark. ok is
// false if that is nothing.
func (it *item) news(m mark) (p Progress, next mark, ok bool) {
	next = mark{event: it.last, length: it.output.Len(), failures: it.failures, state: it.state}
	switch {
	case it.state == itemListed:
		return Progress{Item: it.ID, Listed: true}, next, m != mark{} && m.state != itemListed
	case m.state >= itemFinished:
		return Progress{}, m, false
	}
	text := it.output.String()
	if it.state == itemRunning {
		tail, last := it.run.soFar()
		text += tail
		next.event, next.length = last, len(text)
	}
	p = Progress{Item: it.ID, From: m.event, Last: next.event, Text: text[m.length:], Failures: it.failures}
	if m.event > 0 {
		p.Base = xxhash.Sum64String(text[:m.length])
	}
	if it.state == itemFinished {
		p.State = it.result
	}
	return p, next, next.event > m.event || next.failures > m.failures || p.State != ""
}
