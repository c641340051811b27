package cicadaprocess

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

// testDirectories starts directories of several processes on one store.
type testDirectories struct {
	store *cicadaplatform.Memory
	mu    sync.Mutex
	seen  map[string]bool
}

func (dirs *testDirectories) start(ctx context.Context, name string, isCleaner bool) *directory {
	store := cicadaplatform.NewClient(dirs.store.Backend())
	log := hclog.NewNullLogger()
	d := &directory{
		self: cicadapeer.Member{Name: name, Address: name}, store: store, log: log, onMembers: func([]cicadapeer.Member) {},
		recentlySeen: func(name string) bool {
			dirs.mu.Lock()
			defer dirs.mu.Unlock()
			return dirs.seen[name]
		},
		isCleaner: func() bool { return isCleaner },
	}
	d.start(ctx)
	cicadafollow.New(ctx, store, peersPrefix, cicadafollow.NewLink(log, nil), log, d.apply)
	return d
}

func (dirs *testDirectories) registered(t *testing.T) []string {
	t.Helper()
	page, err := dirs.store.Backend().List(t.Context(), peersPrefix, "", 100)
	assert.NilError(t, err)
	var names []string
	for _, obj := range page.Objects() {
		names = append(names, obj.Name()[len(peersPrefix):])
	}
	slices.Sort(names)
	return names
}

// TestExpiredRegistrationsAreDeleted guards against registrations piling up as VMs are
// replaced day after day. A process that is alive but was not seen must register
// again.
func TestExpiredRegistrationsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dirs := &testDirectories{store: cicadaplatform.NewMemory(), seen: map[string]bool{"a": true, "b": true}}
		ctx, cancel := context.WithCancel(t.Context())
		stoppedCtx, stop := context.WithCancel(t.Context())
		dirs.start(ctx, "a", true)
		dirs.start(ctx, "b", false)
		dirs.start(stoppedCtx, "c", false)
		time.Sleep(time.Second)
		assert.DeepEqual(t, dirs.registered(t), []string{"a", "b", "c"})
		stop()
		time.Sleep(registrationTTL - 10*time.Second)
		assert.DeepEqual(t, dirs.registered(t), []string{"a", "b", "c"})
		time.Sleep(10*time.Second + 2*cleanupInterval)
		assert.DeepEqual(t, dirs.registered(t), []string{"a", "b"})
		dirs.mu.Lock()
		dirs.seen["b"] = false
		dirs.mu.Unlock()
		time.Sleep(registrationTTL + 2*cleanupInterval)
		_, err := dirs.store.Backend().Get(t.Context(), peersPrefix+"b")
		assert.Assert(t, !errors.Is(err, cicadaplatform.ErrNotFound), "a live process must register again")
		cancel()
		synctest.Wait()
	})
}
