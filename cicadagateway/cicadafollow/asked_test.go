package cicadafollow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

// Guards against a list that looks younger than it is: one that takes long counts from the time
// before its first call, and a change that a watch delivers has no time.
func TestListIsDatedFromItsFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 400 * time.Millisecond
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		ft := newFollowerTest()
		backend := ft.memory.Backend()
		list := backend.List
		backend.List = func(ctx context.Context, prefix, after string, _ int) (cicadaplatform.Page, error) {
			page, err := list(ctx, prefix, after, 1) // one object in each page
			time.Sleep(latency)
			return page, err
		}
		ft.put(t, "config/log", "1")
		ft.put(t, "config/main", "1")
		time.Sleep(time.Second)
		began := clock()
		var changes []Change
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, cicadaplatform.NewClient(backend), "config/", ft.link, hclog.NewNullLogger(),
			func(c Change) { changes = append(changes, c) }, WithClock(clock))
		time.Sleep(3 * latency)
		ft.put(t, "config/main", "2")
		time.Sleep(latency)
		cancel()
		f.Wait()
		assert.Equal(t, len(changes), 2)
		at, ok := changes[0].AskedAt()
		assert.Assert(t, ok && at == began, "dated %s, asked at %s", at, began)
		_, ok = changes[1].AskedAt()
		assert.Assert(t, !ok, "a watch confirms nothing")
	})
}
