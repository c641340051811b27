package cicadabatch

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// largeCall submits a job of which each item has a body of its own, of the given size.
func largeCall(id string, items, bodySize int) (c *Call, body func(i int) []byte) {
	body = func(i int) []byte { return bytes.Repeat([]byte{byte(i)}, bodySize) }
	var encoded []string
	for i := range items {
		encoded = append(encoded, fmt.Sprintf(`{"Id":"%s-%d","Path":"/j/3","Headers":{"X-Model":"m"},"Body":"%s","Tokens":7}`,
			id, i, base64.StdEncoding.EncodeToString(body(i))))
	}
	c = submitCall(id, 0)
	c.Body = []byte(`{"Items":[` + strings.Join(encoded, ",") + `]}`)
	return c, body
}

// TestJobLargerThanAnObjectIsRun guards against a job within the limit of a request that is
// refused because the store keeps no object of its size. It also moves to another owner.
func TestJobLargerThanAnObjectIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 200
		d := newTestDeployment()
		d.quoteValues(cicadaplatform.MaxValueSize)
		d.stalled = true
		var owner atomic.Value
		owner.Store("o1")
		owners := func() []string { return []string{owner.Load().(string)} }
		o1 := d.startOwner("o1", owners, WithRetention(30*time.Second))
		o2 := d.startOwner("o2", owners, WithRetention(30*time.Second))
		defer o2.stop()
		time.Sleep(time.Second)
		c, body := largeCall("j", items, 6<<10)
		assert.Equal(t, o1.call(t, c).Status, http.StatusAccepted)
		assert.Equal(t, o1.call(t, c).Status, http.StatusAccepted, "a repeat")
		assert.Equal(t, o2.call(t, c).Status, http.StatusAccepted, "a repeat at another owner")
		time.Sleep(time.Second)
		for _, o := range []*testOwner{o1, o2} {
			got := o.call(t, &Call{Kind: CallReadItem, Job: "j", Item: "j-150"})
			assert.Assert(t, got.Status == http.StatusOK && bytes.Equal(got.Body, body(150)))
		}
		o1.stop()
		owner.Store("o2")
		d.mu.Lock()
		d.stalled = false
		d.mu.Unlock()
		time.Sleep(10 * time.Second)
		listed := o2.results(t, "j", 0).Results
		assert.Equal(t, len(listed), items)
		for _, r := range listed {
			assert.Equal(t, r.State, adapter.StateComplete)
		}
		time.Sleep(30 * time.Second)
		for _, name := range []string{JobsPrefix + "j", partName("j", 0), partName("j", 1)} {
			_, err := d.memory.Backend().Get(t.Context(), name)
			assert.Assert(t, errors.Is(err, cicadaplatform.ErrNotFound), "%s is left after the retention: %v", name, err)
		}
	})
}

// TestLargeJobIsNotAcceptedInPart guards against a job that is told to be refused, or accepted,
// while only some of its items are stored.
func TestLargeJobIsNotAcceptedInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		down := d.stopCreates()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		c, _ := largeCall("j", 200, 8<<10)
		down.Store(true)
		assert.Equal(t, o.call(t, c).Status, http.StatusServiceUnavailable)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(d.startedItems()), 0)
		c, _ = largeCall("k", 2, 2<<20)
		assert.Equal(t, o.call(t, c).Status, http.StatusRequestEntityTooLarge, "one item is too large for an object")
	})
}
