package cicadaplatform

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The in-memory backend and the same backend over HTTP must behave alike.
func TestBackendConformance(t *testing.T) {
	for _, name := range []string{"memory", "http"} {
		t.Run(name, func(t *testing.T) {
			memory := NewMemory()
			backend := memory.Backend()
			if name == "http" {
				server := httptest.NewServer(Handler(memory.Backend()))
				t.Cleanup(server.Close)
				var err error
				backend, err = Open(server.URL)
				assert.NilError(t, err)
			}
			testBackend(t, memory, backend)
		})
	}
}

func testBackend(t *testing.T, memory *Memory, b Backend) {
	ctx := t.Context()
	_, err := b.Get(ctx, "a/1")
	assert.Assert(t, errors.Is(err, ErrNotFound))
	created, err := b.Create(ctx, "a/1", []byte("one"))
	assert.NilError(t, err)
	_, err = b.Create(ctx, "a/1", []byte("two"))
	assert.Assert(t, errors.Is(err, ErrExists))
	got, err := b.Get(ctx, "a/1")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value()), "one")
	assert.Equal(t, got.Version(), created.Version())
	updated, err := b.Update(ctx, "a/1", created.Version(), []byte("three"))
	assert.NilError(t, err)
	assert.Assert(t, updated.Version() > created.Version())
	_, err = b.Update(ctx, "a/1", created.Version(), []byte("four"))
	assert.Assert(t, errors.Is(err, ErrConflict))
	_, err = b.Update(ctx, "a/none", 1, nil)
	assert.Assert(t, errors.Is(err, ErrNotFound))
	for i := range 5 {
		_, err = b.Create(ctx, fmt.Sprint("b/", i), []byte("x"))
		assert.NilError(t, err)
	}
	page, err := b.List(ctx, "b/", "b/1", 2)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Objects()), 2)
	assert.Equal(t, page.Objects()[0].Name(), "b/2")
	assert.Assert(t, page.More())
	watched, err := b.Watch(ctx, "b/", page.Version()-2)
	assert.NilError(t, err)
	assert.Equal(t, len(watched.Objects()), 2)
	changes, err := b.Changes(ctx, "b/", page.Version()-2)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Objects()), 2)
	assert.Equal(t, changes.Objects()[1].Version(), watched.Objects()[1].Version())
	changes, err = b.Changes(ctx, "b/", page.Version())
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Objects()), 0, "it does not wait")
	assert.Equal(t, changes.Version(), page.Version())
	assert.Assert(t, errors.Is(b.Delete(ctx, "a/1", created.Version()), ErrConflict))
	assert.NilError(t, b.Delete(ctx, "a/1", updated.Version()))
	_, err = b.Get(ctx, "a/1")
	assert.Assert(t, errors.Is(err, ErrNotFound))
	_, err = b.Create(ctx, "big", make([]byte, MaxValueSize+1))
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	memory.SetVM(VM{Name: "w-1", Role: "endpoint", State: VMLive})
	vms, err := b.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 1)
	memory.SetFault(func(context.Context, string, string) (error, error) { return ErrUnavailable, nil })
	_, err = b.Get(ctx, "b/1")
	assert.Assert(t, errors.Is(err, ErrUnavailable))
	memory.SetFault(func(context.Context, string, string) (error, error) { return nil, ErrInDoubt })
	_, err = b.Create(ctx, "lost", []byte("x"))
	assert.Assert(t, errors.Is(err, ErrInDoubt))
	memory.SetFault(nil)
	_, err = b.Get(ctx, "lost")
	assert.NilError(t, err, "a call whose response is lost has taken effect")
}

// The client resolves a lost response by reading the object back, also if an
// earlier attempt took effect and a retry fails with ErrExists.
func TestClientResolvesLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory()
		client := NewClient(memory.Backend())
		lostResponses := 3
		memory.SetFault(func(_ context.Context, call, _ string) (error, error) {
			if call == "create" && lostResponses > 0 {
				lostResponses--
				return nil, ErrInDoubt
			}
			return nil, nil
		})
		obj, err := client.Create(t.Context(), ClassLease, "a", []byte("mine"))
		assert.NilError(t, err)
		assert.Equal(t, string(obj.Value()), "mine")
		_, err = client.Create(t.Context(), ClassLease, "a", []byte("other"))
		assert.Assert(t, errors.Is(err, ErrExists))
	})
}

// While the store is unavailable the client retries with backoff until its context
// ends, and does not report ErrInDoubt.
func TestClientBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory()
		memory.SetFault(func(context.Context, string, string) (error, error) { return ErrUnavailable, nil })
		client := NewClient(memory.Backend(), WithWriteRate(1000))
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		_, err := client.Create(ctx, ClassResult, "a", []byte("x"))
		assert.Assert(t, errors.Is(err, ErrUnavailable))
		assert.Assert(t, !errors.Is(err, ErrInDoubt))
		assert.Assert(t, memory.Calls()["create"] < 40, "%d calls in 30 s", memory.Calls()["create"])
	})
}

// Many uploads must not delay a lease renewal.
func TestWriteClassesHaveSeparateBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(NewMemory().Backend(), WithWriteRate(20))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 200 {
			go func() { _, _ = client.Create(ctx, ClassUpload, fmt.Sprint("upload/", i), []byte("x")) }()
		}
		time.Sleep(time.Second)
		started := time.Now()
		_, err := client.Create(ctx, ClassLease, "lease", []byte("x"))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) < 100*time.Millisecond)
	})
}

// An entry that owns all shards must renew their leases in time even if its write
// budget is small.
func TestLeaseRenewalWithSmallWriteBudget(t *testing.T) {
	const shards, interval = 64, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(NewMemory().Backend(), WithWriteRate(1))
		started := time.Now()
		for round := range 5 {
			for shard := range shards {
				_, err := client.Create(t.Context(), ClassLease, fmt.Sprintf("lease/%d/%d", round, shard), []byte("x"))
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, time.Since(started) <= 5*interval, "five rounds of renewals took %s", time.Since(started))
	})
}
