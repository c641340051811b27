package cicadashard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

type dispatchFunc func(ctx context.Context, req *cicadadispatch.Request, sink func(cicadadispatch.Chunk) error) (*cicadadispatch.Result, error)

// Run implements Dispatcher.
func (f dispatchFunc) Run(ctx context.Context, req *cicadadispatch.Request, sink func(cicadadispatch.Chunk) error) (*cicadadispatch.Result, error) {
	return f(ctx, req, sink)
}

type peerNames []string

// EntryNames implements Peers.
func (p peerNames) EntryNames() []string { return p }

const testResources = `
kind: group
name: assistants
models: [assistant]
slots: 4
---
kind: template
name: desk
parameters: {models: [assistant]}
---
kind: customer
name: shop
template: desk
`

// A testEnv is a Manager with a store in memory, for use in synctest bubbles.
type testEnv struct {
	memory  *cicadaplatform.Memory
	client  *cicadaplatform.Client
	files   *cicadafile.Store
	manager *Manager
}

func newTestEnv(t *testing.T, run dispatchFunc) *testEnv {
	t.Helper()
	env := &testEnv{memory: cicadaplatform.NewMemory()}
	env.client = cicadaplatform.NewClient(env.memory.Backend(), cicadaplatform.WithWriteRate(1000))
	resources, err := cicadaconfig.ParseResources("test.yaml", []byte(testResources))
	assert.NilError(t, err)
	store := cicadaconfig.NewStore(env.client, rand.Uint64)
	_, err = store.Apply(t.Context(), cicadaconfig.Request{Operator: "test", Resources: resources})
	assert.NilError(t, err)
	snapshot, err := store.Load(t.Context())
	assert.NilError(t, err)
	env.files = cicadafile.New(env.client, rand.Uint64)
	env.manager = New(Config{Name: "entry-1", Address: "entry-1", Shards: 1}, Deps{
		Store: env.client, Files: env.files, Config: func() *cicadaconfig.Snapshot { return snapshot }, Dispatcher: run,
		Peers: peerNames{"entry-1"}, Nonce: rand.Uint64, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	return env
}

// submit uploads a file of n items and submits a job for it.
func (env *testEnv) submit(t *testing.T, name string, n int) *cicadawire.JobAccepted {
	t.Helper()
	var lines strings.Builder
	for i := range n {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","body":{"model":"assistant","prompt":"%s-%d","max_tokens":16}}`+"\n", name, i, name, i)
	}
	meta, err := env.files.Upload(t.Context(), "shop", name, "batch", strings.NewReader(lines.String()))
	assert.NilError(t, err)
	now := time.Now()
	accepted := &cicadawire.JobAccepted{
		Id: name, Customer: "shop", Key: name, File: meta.GetId(), Path: "/v1/completions", Items: int64(n),
		CreatedMs: now.UnixMilli(), DueMs: now.Add(time.Hour).UnixMilli(),
	}
	_, err = env.manager.Job(t.Context(), &cicadawire.JobRequest{Verb: VerbSubmit, Customer: "shop", Job: accepted})
	assert.NilError(t, err)
	return accepted
}

func (env *testEnv) view(t *testing.T, id string) *cicadawire.JobView {
	t.Helper()
	reply, err := env.manager.Job(t.Context(), &cicadawire.JobRequest{Verb: VerbGet, Customer: "shop", Id: id})
	assert.NilError(t, err)
	return reply.GetJobs()[0]
}

// A speculative execution that finds no idle slot must not be started again at
// once: without a pause, an endless series of them is started for each straggler.
func TestSpeculationPausesWhenNoSlotIsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		calls := make(map[string]int)
		env := newTestEnv(t, func(ctx context.Context, req *cicadadispatch.Request, _ func(cicadadispatch.Chunk) error) (*cicadadispatch.Result, error) {
			body := string(req.Call.GetBody())
			mu.Lock()
			calls[body]++
			n := calls[body]
			mu.Unlock()
			if !strings.Contains(body, "job-9") {
				time.Sleep(10 * time.Millisecond)
				return &cicadadispatch.Result{}, nil
			}
			if n > 1 {
				return nil, cicadaerror.New(cicadaerror.Overloaded, "no idle slot").NotRun()
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		defer env.manager.Close()
		env.submit(t, "job", 10)
		time.Sleep(20 * time.Second)
		view := env.view(t, "job")
		assert.Equal(t, view.GetCompleted(), int64(9))
		mu.Lock()
		defer mu.Unlock()
		for body, n := range calls {
			assert.Assert(t, n <= 12, "item %s was tried %d times in 20 s", body, n)
		}
	})
}

func TestJobRecordsEachItemOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, func(_ context.Context, req *cicadadispatch.Request, _ func(cicadadispatch.Chunk) error) (*cicadadispatch.Result, error) {
			time.Sleep(time.Duration(1+rand.IntN(50)) * time.Millisecond)
			if strings.Contains(string(req.Call.GetBody()), "job-13") {
				return nil, cicadaerror.New(cicadaerror.EngineFailed, "engine fails on this")
			}
			return &cicadadispatch.Result{}, nil
		})
		defer env.manager.Close()
		env.submit(t, "job", 100)
		time.Sleep(30 * time.Second)
		view := env.view(t, "job")
		assert.Equal(t, view.GetState(), cicadajob.StateCompleted)
		assert.Equal(t, view.GetCompleted(), int64(99))
		assert.Equal(t, view.GetFailed(), int64(1))
		seen := make(map[int64]bool)
		err := env.manager.Results(t.Context(), view, func(item *cicadawire.ItemDone) error {
			assert.Assert(t, !seen[item.GetIndex()])
			seen[item.GetIndex()] = true
			if item.GetFailed() {
				assert.Equal(t, item.GetAttempts(), int32(maxFailedAttempts))
			}
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, len(seen), 100)
	})
}
