package cicadabatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadapeer"
)

// TestTenure covers what each change of another owner's report means.
func TestTenure(t *testing.T) {
	now := time.Now()
	confirming := cicadapeer.OwnerView{Owner: "o2", Incarnation: 1, Since: 3, RunsJobs: true, ValidUntil: now.Add(time.Second)}
	changed := func(f func(v *cicadapeer.OwnerView)) cicadapeer.OwnerView {
		v := confirming
		f(&v)
		return v
	}
	for name, c := range map[string]struct {
		view                   cicadapeer.OwnerView
		names                  []string
		confirmed, interrupted bool
	}{
		"same":                        {confirming, []string{"o1", "o2"}, true, false},
		"silent":                      {changed(func(v *cicadapeer.OwnerView) { v.ValidUntil = now }), []string{"o1", "o2"}, false, false},
		"leaves this owner out":       {changed(func(v *cicadapeer.OwnerView) { v.Since = 0 }), []string{"o1", "o2"}, false, false},
		"is left out here":            {confirming, []string{"o1"}, false, false},
		"runs no jobs":                {changed(func(v *cicadapeer.OwnerView) { v.RunsJobs = false }), []string{"o1"}, true, false},
		"has run jobs meanwhile":      {changed(func(v *cicadapeer.OwnerView) { v.Since = 4 }), []string{"o1", "o2"}, true, true},
		"restarted":                   {changed(func(v *cicadapeer.OwnerView) { v.Incarnation = 2 }), []string{"o1", "o2"}, true, true},
		"is shutting down, silent":    {changed(func(v *cicadapeer.OwnerView) { v.Leaving, v.RunsJobs, v.ValidUntil = true, false, now }), []string{"o1"}, true, false},
		"is shutting down, runs jobs": {changed(func(v *cicadapeer.OwnerView) { v.Leaving, v.ValidUntil = true, now }), []string{"o1"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			tenure := tenure{terms: make(map[string]term)}
			first := tenure.update(now, []string{"o1", "o2"}, []cicadapeer.OwnerView{confirming})
			assert.DeepEqual(t, first.interrupting, []string{"o2"})
			state := tenure.update(now, c.names, []cicadapeer.OwnerView{c.view})
			assert.Equal(t, state.confirmed(), c.confirmed)
			assert.Equal(t, len(state.interrupting) > 0, c.interrupted)
			again := tenure.update(now, c.names, []cicadapeer.OwnerView{c.view})
			assert.Equal(t, len(again.interrupting), 0)
		})
	}
}

// TestRosterNumbers covers when the number of an owner in a roster changes.
func TestRosterNumbers(t *testing.T) {
	job := "" // would be run by o2, if that is in the roster
	for i := 0; ownerOf(job, []string{"o1", "o2"}) != "o2"; i++ {
		job = fmt.Sprint("j", i)
	}
	r := newRoster("o1")
	assert.Assert(t, r.set([]string{"o1", "o2"}))
	assert.Assert(t, !r.set([]string{"o1", "o2"}))
	first := r.since["o2"]
	r.set([]string{"o1"})
	r.set([]string{"o1", "o2"})
	assert.Equal(t, r.since["o2"], first, "nothing was stored meanwhile")
	assert.Assert(t, !r.recordWrite(job))
	r.set([]string{"o1"})
	assert.Assert(t, r.recordWrite(job))
	r.set([]string{"o1", "o2"})
	second := r.since["o2"]
	assert.Assert(t, second > first)
	r.set([]string{"o1"})
	r.forget(func(string) bool { return false })
	assert.Equal(t, len(r.since), 1, "only members of the roster are kept")
	r.set([]string{"o1", "o2"})
	assert.Assert(t, r.since["o2"] > second, "an owner that was forgotten has a new number")
}
