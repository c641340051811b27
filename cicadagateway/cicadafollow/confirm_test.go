package cicadafollow

import (
	"context"
	"errors"
	"sync/atomic"
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
		asOf, err := f.CatchUp(ctx, time.Second)
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
		_, err := f.CatchUp(ctx, time.Second)
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
			_, err = f.CatchUp(limited, time.Second)
		}
		assert.Assert(t, errors.Is(err, cicadaplatform.ErrUnavailable), "%v", err)
		assert.Equal(t, f.LastFailure(), failedAt)
		cancel()
		f.Wait()
	})
}

// Guards against followers that hear of nothing for as long as a watch lasts, because it was lost in a silence
// of the store that another call has shown to be over.
func TestWatchIsRepeatedWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		backend := ft.memory.Backend()
		var silent atomic.Bool
		var watches atomic.Int64
		silent.Store(true)
		watch := backend.Watch
		backend.Watch = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
			watches.Add(1)
			if silent.Load() {
				<-ctx.Done()
				return cicadaplatform.Page{}, cicadaplatform.ErrInDoubt
			}
			return watch(ctx, prefix, from)
		}
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, cicadaplatform.NewClient(backend), "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		ft.put(t, "config/main", "first")
		time.Sleep(time.Second)
		ft.link.Report(cicadaplatform.ErrInDoubt)
		time.Sleep(time.Second)
		ft.put(t, "config/main", "second")
		silent.Store(false)
		ft.link.Report(nil)
		time.Sleep(time.Second)
		assert.Equal(t, ft.value(), "second")
		assert.Equal(t, watches.Load(), int64(3), "one that was lost, one that brought the change, and the next")
		cancel()
		f.Wait()
	})
}

// Guards against watches that stay lost after a silence of the store that none of the followers has noticed,
// but another read has.
func TestWatchIsRepeatedWhenAReadIsAnsweredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		backend := ft.memory.Backend()
		var silent atomic.Bool
		get, watch := backend.Get, backend.Watch
		backend.Watch = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
			if silent.Load() {
				<-ctx.Done()
				return cicadaplatform.Page{}, cicadaplatform.ErrInDoubt
			}
			return watch(ctx, prefix, from)
		}
		backend.Get = func(ctx context.Context, name string) (cicadaplatform.Object, error) {
			if silent.Load() {
				<-ctx.Done()
				return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
			}
			return get(ctx, name)
		}
		silent.Store(true)
		store := cicadaplatform.NewClient(backend, cicadaplatform.WithOnAnswered(ft.link.Resume))
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, store, "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		ft.put(t, "config/main", "first")
		time.Sleep(time.Second)
		_, err := store.Get(ctx, "config/main")
		assert.Assert(t, errors.Is(err, cicadaplatform.ErrInDoubt))
		silent.Store(false)
		ft.put(t, "config/main", "second")
		_, err = store.Get(ctx, "config/main")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, ft.value(), "second")
		cancel()
		f.Wait()
	})
}
