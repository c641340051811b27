package cicadabatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// quoteValues makes the backend keep values as the platform does: as JSON strings, with the
// limit of an object on what is kept.
func (d *testDeployment) quoteValues(limit int) {
	create := d.backend.Create
	d.backend.ValueSize = func(_ string, value []byte) int { return cicadaplatform.JSONStringSize(value) }
	d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
		if cicadaplatform.JSONStringSize(value) > limit {
			return cicadaplatform.Object{}, cicadaplatform.ErrTooLarge
		}
		return create(ctx, name, value)
	}
}

// manyEvents is the number of events of an item that does not finish during a test.
const manyEvents = 399

// finishDuringOutage submits a job whose items finish with the given output while the store
// refuses writes, and returns the results that are listed some seconds after the outage.
func finishDuringOutage(t *testing.T, d *testDeployment, outputs []string) []adapter.Result {
	t.Helper()
	down := d.stopCreates()
	o := d.startOwner("o1", fixedOwners("o1"))
	defer o.stop()
	time.Sleep(time.Second)
	o.call(t, submitCall("j", repeat(manyEvents, len(outputs))...))
	down.Store(true)
	var done []Progress
	for i, output := range outputs {
		done = append(done, Progress{Item: fmt.Sprint("j-", i), Last: 1, Text: output, State: adapter.StateComplete})
	}
	o.call(t, &Call{Kind: CallHandOver, Job: "j", Progress: done})
	time.Sleep(4500 * time.Millisecond)
	down.Store(false)
	time.Sleep(5 * time.Second)
	var all []adapter.Result
	for {
		page := o.results(t, "j", len(all))
		if len(page.Results) == 0 {
			return all
		}
		all = append(all, page.Results...)
	}
}

func repeat[T any](v T, n int) []T {
	all := make([]T, n)
	for i := range all {
		all[i] = v
	}
	return all
}

// TestResultsOfMarkupAreListedAfterOutage guards against a group of results that is over the
// limit of an object once it is encoded, and is then written in vain for ever.
func TestResultsOfMarkupAreListedAfterOutage(t *testing.T) {
	for name, text := range map[string]string{"markup": "<tr><td>12</td></tr>", "quotes": `{"a":"\"b\""}`, "control": "\x01\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				d.quoteValues(cicadaplatform.MaxValueSize)
				outputs := repeat(strings.Repeat(text, 14<<10/len(text)), 90)
				results := finishDuringOutage(t, d, outputs)
				assert.Equal(t, len(results), len(outputs))
				for i, r := range results {
					assert.Equal(t, r.State, adapter.StateComplete)
					assert.Assert(t, r.Output == outputs[i], "%s has another output", r.ID)
				}
			})
		})
	}
}

// TestChunkTooLargeForStoreIsSplit guards against a group of results that the store refuses as
// too large, by a count of its own, and that is then written in vain for ever.
func TestChunkTooLargeForStoreIsSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 50 << 10
		d := newTestDeployment()
		d.quoteValues(limit)
		outputs := repeat("short", 20)
		outputs = append(outputs, strings.Repeat("x", limit), "last")
		results := finishDuringOutage(t, d, outputs)
		assert.Equal(t, len(results), len(outputs))
		for _, r := range results {
			want := adapter.StateComplete
			if r.ID == "j-20" {
				want = adapter.StateFailed
			}
			assert.Equal(t, r.State, want, r.ID)
		}
	})
}

// TestPageOfResultsKeepsItsLimit guards against a page that is over its limit once it is encoded.
func TestPageOfResultsKeepsItsLimit(t *testing.T) {
	j := &job{results: repeat(adapter.Result{ID: "i", State: adapter.StateComplete, Output: strings.Repeat("\x01\"", 50<<10)}, 10)}
	for after := 0; after < len(j.results); {
		page := j.resultsPage(after)
		body, err := adapter.EncodeResults(len(j.results), after+len(page), page)
		assert.NilError(t, err)
		assert.Assert(t, len(body) <= 1<<20, "a page of %d results has %d bytes", len(page), len(body))
		after += len(page)
	}
}
