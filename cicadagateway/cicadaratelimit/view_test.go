package cicadaratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadamember"
)

// Guards against shares that add up to more than the limit where the link between two entries
// has failed, and the others reach both.
func TestSharesAddUpToTheLimit(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	ranked := cicadamember.Rank(homeKey("customer"), names)
	now := time.Unix(1000, 0)
	views := make(map[string]*view)
	for _, self := range names {
		v := newView(self)
		v.set(Members{Live: names, Known: 5}, now)
		views[self] = v
	}
	assert.Equal(t, views[ranked[0]].share("customer", ""), 1.0)
	assert.Equal(t, views[ranked[1]].share("customer", ""), 0.0)
	assert.Equal(t, views[ranked[1]].share("customer", ranked[0]), 1.0, "instead of the first")

	without := func(name string) Members {
		m := Members{Known: 5}
		for _, other := range names {
			if other != name {
				m.Live = append(m.Live, other)
			}
		}
		return m
	}
	views[ranked[0]].set(without(ranked[1]), now)
	views[ranked[1]].set(without(ranked[0]), now)
	now = now.Add(goneDelay)
	for _, v := range views {
		v.refreshed = now
		for name, other := range views {
			v.setPeer(name, other.message(), now)
		}
	}
	total := 0.0
	for _, v := range views {
		total += v.share("customer", "")
	}
	assert.Equal(t, views[ranked[0]].share("customer", ""), 0.8)
	assert.Equal(t, views[ranked[1]].share("customer", ""), 0.2)
	assert.Equal(t, total, 1.0)
}

// Guards against views whose number grows with that of entries, or that are sent while nothing
// has changed.
func TestViewsAreFew(t *testing.T) {
	var names []string
	for i := range 400 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	v, now := newView(names[0]), time.Unix(1000, 0)
	v.set(Members{Live: names, Known: 400}, now)
	assert.Equal(t, len(v.receivers(now)), 0)
	v.set(Members{Live: names[:350], Known: 400}, now)
	sent := make(map[string]bool)
	for range 350/viewsPerTick + 1 {
		receivers := v.receivers(now)
		assert.Assert(t, len(receivers) <= viewsPerTick)
		for _, name := range receivers {
			sent[name] = true
		}
	}
	assert.Equal(t, len(sent), 349)
	assert.Equal(t, len(v.message().Missing), maxMissing)
	now = now.Add(knownTime + time.Second)
	v.expire(now)
	assert.Equal(t, len(v.receivers(now)), 0)
}

// Guards against an entry that has just started and takes those that it knows for all.
func TestStartedEntryLearnsHowManyAreKnown(t *testing.T) {
	v, now := newView("a"), time.Unix(1000, 0)
	v.set(Members{Live: []string{"a", "b"}, Known: 2}, now)
	other := newView("b")
	other.set(Members{Live: []string{"b", "c", "d"}, Known: 3}, now)
	other.set(Members{Live: []string{"a", "b"}, Known: 4}, now)
	v.setPeer("b", other.message(), now)
	assert.Equal(t, v.share("customer", "b"), 0.5)
}
