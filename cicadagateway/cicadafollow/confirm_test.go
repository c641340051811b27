package cicadafollow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

func TestCatchUpPassesOnWhatASilentWatchHides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		ft.put(t, "config/main", "first")
		time.Sleep(100 * time.Millisecond)
		ft.silentWatches.Store(true)
		ft.put(t, "config/main", "second") // the watch returns, and the next one is silent
		time.Sleep(100 * time.Millisecond)
		ft.put(t, "config/main", "third")
		before := time.Now()
		asOf, err := f.CatchUp(ctx)
		assert.NilError(t, err)
		assert.Equal(t, ft.value(), "third")
		assert.Assert(t, !asOf.Before(before))
		cancel()
		f.Wait()
	})
}

func TestFailuresOfTheStoreAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		ctx, cancel := context.WithCancel(t.Context())
		ft.down.Store(true)
		f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		time.Sleep(5 * time.Second)
		_, err := f.CatchUp(ctx)
		assert.Assert(t, errors.Is(err, ErrNotListed))
		assert.Assert(t, time.Since(f.LastFailure()) <= 2*maxBackoff)
		ft.down.Store(false)
		time.Sleep(2 * maxBackoff)
		failedAt := f.LastFailure()
		ft.store.SetRates(1, 0) // no call is made any more
		limited, cancelCall := context.WithTimeout(ctx, time.Second)
		defer cancelCall()
		for range 10 {
			time.Sleep(time.Millisecond)
			_, err = f.CatchUp(limited)
		}
		assert.Assert(t, errors.Is(err, cicadaplatform.ErrRateLimited), "%v", err)
		assert.Equal(t, f.LastFailure(), failedAt)
		cancel()
		f.Wait()
	})
}
