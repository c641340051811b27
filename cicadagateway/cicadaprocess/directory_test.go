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

// hall is several directories over one store.
type hall struct {
	memory *cicadaplatform.Memory
	mu     sync.Mutex
	heard  map[string]bool
}

func (h *hall) enter(ctx context.Context, name string, tidy bool) *directory {
	store := cicadaplatform.NewClient(h.memory.Backend())
	log := hclog.NewNullLogger()
	d := &directory{
		self: cicadapeer.Member{Name: name, Address: name}, store: store, log: log, found: func([]cicadapeer.Member) {},
		heard: func(name string) bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.heard[name]
		},
		tidy: func() bool { return tidy },
	}
	d.start(ctx)
	cicadafollow.New(ctx, store, peersPrefix, cicadafollow.NewLink(log, nil), log, d.apply)
	return d
}

func (h *hall) names(t *testing.T) []string {
	t.Helper()
	page, err := h.memory.Backend().List(t.Context(), peersPrefix, "", 100)
	assert.NilError(t, err)
	var names []string
	for _, obj := range page.Objects() {
		names = append(names, obj.Name()[len(peersPrefix):])
	}
	slices.Sort(names)
	return names
}

// TestEntriesOfGoneProcessesAreDeleted answers VMs that are replaced day after day:
// their entries do not pile up, and one that is only out of hearing comes back.
func TestEntriesOfGoneProcessesAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hall{memory: cicadaplatform.NewMemory(), heard: map[string]bool{"a": true, "b": true}}
		ctx, cancel := context.WithCancel(t.Context())
		goneCtx, leave := context.WithCancel(t.Context())
		h.enter(ctx, "a", true)
		h.enter(ctx, "b", false)
		h.enter(goneCtx, "c", false)
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.names(t), []string{"a", "b", "c"})
		leave()
		time.Sleep(goneTime - 10*time.Second)
		assert.DeepEqual(t, h.names(t), []string{"a", "b", "c"})
		time.Sleep(10*time.Second + 2*tidyInterval)
		assert.DeepEqual(t, h.names(t), []string{"a", "b"})
		h.mu.Lock()
		h.heard["b"] = false
		h.mu.Unlock()
		time.Sleep(goneTime + 2*tidyInterval)
		_, err := h.memory.Backend().Get(t.Context(), peersPrefix+"b")
		assert.Assert(t, !errors.Is(err, cicadaplatform.ErrNotFound), "a process that lives registers anew")
		cancel()
		synctest.Wait()
	})
}
