package cicadaslope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadaentry/cicadashard"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

var (
	itemCounts    = []int{1000, 5000, 20000, 50000}
	jobCounts     = []int{10, 100, 300}
	segmentCounts = []int{100, 1000, 3000}
)

const (
	itemRunTime       = 5 * time.Millisecond
	itemResponseBytes = 800
	itemsPerJob       = 1000
	itemsPerSegment   = 60
	jobTimeout        = 5 * time.Minute
	jobPollInterval   = 50 * time.Millisecond
)

func init() {
	measurements.Register("items", measureItems)
	measurements.Register("jobs", measureJobs)
	measurements.Register("replay", measureReplay)
}

// measureItems measures, for several numbers of items, what one job costs the entry that
// owns the job's shard and the platform.
func measureItems(ctx context.Context) ([]Slope, error) {
	var cpu, memory, writes, reads []Point
	for _, n := range itemCounts {
		cost, err := measureItemCost(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		cpu = append(cpu, Point{x, cost.cpu})
		memory = append(memory, Point{x, cost.memory})
		writes = append(writes, Point{x, cost.writes})
		reads = append(reads, Point{x, cost.reads})
	}
	return []Slope{
		fitLine("items/processor", "seconds of a core per item, store's end included", cpu),
		fitLine("items/memory", "peak bytes per item, without the store", memory),
		fitLine("items/writes", "platform writes per item", writes),
		fitLine("items/reads", "platform reads per item", reads),
	}, nil
}

// An itemCost is what all items of one job cost.
type itemCost struct {
	cpu    float64 // seconds
	memory float64 // bytes
	writes float64 // platform calls
	reads  float64 // platform calls
}

// A stubDispatcher runs items without an engine.
type stubDispatcher struct{}

// Run responds to an item with random text after itemRunTime.
func (stubDispatcher) Run(ctx context.Context, _ *cicadadispatch.Request, emit func(cicadadispatch.Chunk) error) (*cicadadispatch.Result, error) {
	if err := sleep(ctx, itemRunTime); err != nil {
		return nil, err
	}
	return &cicadadispatch.Result{}, emit(cicadadispatch.Chunk{Data: randomText()})
}

// randomText returns at least itemResponseBytes of random words. They compress like
// ordinary text, unlike a repeated letter, which would compress far better.
func randomText() []byte {
	words := strings.Fields("the maple mallet head turns true its ash handle fits a wedge of beech sand finish oil dry order quote note")
	var text strings.Builder
	for text.Len() < itemResponseBytes {
		text.WriteString(words[rand.IntN(len(words))])
		text.WriteByte(' ')
	}
	return []byte(text.String())
}

// A singleEntry is a peer group with one entry.
type singleEntry struct{}

// EntryNames returns the name of the only entry.
func (singleEntry) EntryNames() []string { return []string{"entry-1"} }

// measureItemCost runs a job with the given number of items and returns what it costs.
func measureItemCost(ctx context.Context, items int) (itemCost, error) {
	memory := cicadaplatform.NewMemory()
	client := cicadaplatform.NewClient(memory.Backend(), cicadaplatform.WithWriteRate(1000))
	snapshot, err := benchConfig(ctx, client)
	if err != nil {
		return itemCost{}, err
	}
	files := cicadafile.New(client, rand.Uint64)
	manager := cicadashard.New(cicadashard.Config{Name: "entry-1", Address: "entry-1", Shards: 1}, cicadashard.Deps{
		Store: client, Files: files, Config: func() *cicadaconfig.Snapshot { return snapshot }, Dispatcher: stubDispatcher{}, Peers: singleEntry{},
		Nonce: rand.Uint64, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	defer manager.Close()
	callsBefore := memory.Calls()
	job, err := uploadItems(ctx, files, items)
	if err != nil {
		return itemCost{}, err
	}
	memoryBefore, startCPU := memoryInUse(), cpuTime()
	if _, err := manager.Job(ctx, &cicadawire.JobRequest{Verb: cicadashard.VerbSubmit, Customer: "shop", Job: job}); err != nil {
		return itemCost{}, err
	}
	if err := waitForJob(ctx, manager, job.GetId()); err != nil {
		return itemCost{}, err
	}
	callsAfter := memory.Calls()
	cost := itemCost{
		cpu:    (cpuTime() - startCPU).Seconds(),
		writes: float64(callsAfter["create"] + callsAfter["update"] + callsAfter["delete"] - callsBefore["create"] - callsBefore["update"] - callsBefore["delete"]),
		reads:  float64(callsAfter["get"] + callsAfter["list"] - callsBefore["get"] - callsBefore["list"]),
	}
	stored := storedBytes(ctx, memory)
	cost.memory = memoryInUse() - memoryBefore - stored
	return cost, nil
}

// storedBytes returns the size of the shard data in the in-memory platform. The platform
// shares the process with the owner, so this data is not part of the owner's memory.
func storedBytes(ctx context.Context, memory *cicadaplatform.Memory) float64 {
	total, after := 0, ""
	for {
		page, err := memory.Backend().List(ctx, "shard/", after, 0)
		if err != nil {
			return float64(total)
		}
		for _, obj := range page.Objects() {
			total += len(obj.Value())
			after = obj.Name()
		}
		if !page.More() {
			return float64(total)
		}
	}
}

// benchConfig stores and returns a configuration with one customer.
func benchConfig(ctx context.Context, client *cicadaplatform.Client) (*cicadaconfig.Snapshot, error) {
	document := "kind: group\nname: all\nmodels: [assistant]\nslots: 8\n---\nkind: template\nname: desk\nparameters: {models: [assistant]}\n---\nkind: customer\nname: shop\ntemplate: desk\n"
	resources, err := cicadaconfig.ParseResources("bench.yaml", []byte(document))
	if err != nil {
		return nil, err
	}
	store := cicadaconfig.NewStore(client, rand.Uint64)
	if _, err := store.Apply(ctx, cicadaconfig.Request{Resources: resources}); err != nil {
		return nil, err
	}
	return store.Load(ctx)
}

// uploadItems uploads a file with the given number of items and returns a job for it.
func uploadItems(ctx context.Context, files *cicadafile.Store, items int) (*cicadawire.JobAccepted, error) {
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"card-%d","body":{"model":"assistant","prompt":%q}}`+"\n", i, string(randomText()[:200]))
	}
	meta, err := files.Upload(ctx, "shop", "cards", "batch", strings.NewReader(lines.String()))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &cicadawire.JobAccepted{
		Id: "job", Customer: "shop", Key: "job", File: meta.GetId(), Path: "/v1/completions", Items: int64(items),
		CreatedMs: now.UnixMilli(), DueMs: now.Add(time.Hour).UnixMilli(),
	}, nil
}

// waitForJob waits until a job has ended.
func waitForJob(ctx context.Context, manager *cicadashard.Manager, id string) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		reply, err := manager.Job(ctx, &cicadawire.JobRequest{Verb: cicadashard.VerbGet, Customer: "shop", Id: id})
		if err != nil {
			return merry.Errorf("get job %s: %w", id, err)
		}
		if reply.GetJobs()[0].GetEndedMs() != 0 {
			return nil
		}
		if err := sleep(ctx, jobPollInterval); err != nil {
			return err
		}
	}
}

// measureJobs measures the memory and encoded size of the state of a shard for several
// numbers of jobs.
func measureJobs(context.Context) ([]Slope, error) {
	var memory, snapshotSize []Point
	for _, n := range jobCounts {
		memoryBefore := memoryInUse()
		state := cicadajob.NewState()
		addFinishedJobs(state, n)
		memory = append(memory, Point{float64(n), memoryInUse() - memoryBefore})
		data, err := state.Encode()
		if err != nil {
			return nil, err
		}
		snapshotSize = append(snapshotSize, Point{float64(n), float64(len(data))})
	}
	return []Slope{
		fitLine("jobs/memory", "bytes per job of 1000 items", memory),
		fitLine("jobs/snapshot", "bytes of a snapshot per job of 1000 items", snapshotSize),
	}, nil
}

// addFinishedJobs adds the given number of jobs, with all items done, to state.
func addFinishedJobs(state *cicadajob.State, jobs int) {
	seq := int64(0)
	for j := range jobs {
		id := fmt.Sprintf("batch-%024d", j)
		accepted := &cicadawire.JobAccepted{Id: id, Customer: "shop", Key: id, File: "file-" + id, Path: "/v1/completions", Items: itemsPerJob}
		state.Apply(seq, []*cicadawire.Record{{Kind: &cicadawire.Record_JobAccepted{JobAccepted: accepted}}})
		for i := range int64(itemsPerJob) {
			if i%itemsPerSegment == 0 {
				seq++
			}
			done := &cicadawire.ItemDone{Job: id, Index: i}
			state.Apply(seq, []*cicadawire.Record{{Kind: &cicadawire.Record_ItemDone{ItemDone: done}}})
		}
	}
}

// measureReplay measures the time from the start of an entry until it owns its shard,
// for several numbers of segments in the log of the shard. The log is written with the
// default snapshot policy, so only the segments after the latest snapshot are replayed.
func measureReplay(ctx context.Context) ([]Slope, error) {
	var points []Point
	for _, n := range segmentCounts {
		elapsed, err := measureReplayTime(ctx, n)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), elapsed.Seconds() * 1000})
	}
	return []Slope{fitLine("replay/time", "ms per segment, with snapshots", points)}, nil
}

// measureReplayTime fills the log of a shard, starts a new owner and returns the time
// until the owner serves the shard. The log is filled with claims: each is durable before
// Claim returns, so each takes a segment of its own.
func measureReplayTime(ctx context.Context, segments int) (time.Duration, error) {
	client := cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend(), cicadaplatform.WithWriteRate(1e6))
	snapshot, err := benchConfig(ctx, client)
	if err != nil {
		return 0, err
	}
	newManager := func() *cicadashard.Manager {
		return cicadashard.New(cicadashard.Config{Name: "entry-1", Address: "entry-1", Shards: 1, ClaimInterval: time.Microsecond}, cicadashard.Deps{
			Store: client, Files: cicadafile.New(client, rand.Uint64), Config: func() *cicadaconfig.Snapshot { return snapshot },
			Dispatcher: stubDispatcher{}, Peers: singleEntry{}, Nonce: rand.Uint64, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		})
	}
	manager := newManager()
	for i := range segments {
		claim := &cicadawire.ClaimRequest{Customer: "shop", Key: fmt.Sprint("key-", i), Attempt: fmt.Sprint("attempt-", i), BudgetMs: jobTimeout.Milliseconds()}
		if _, err := manager.Claim(ctx, claim); err != nil {
			return 0, merry.Errorf("fill shard log: %w", err)
		}
	}
	manager.Close()
	start := time.Now()
	manager = newManager()
	defer manager.Close()
	for len(manager.OwnedShards()) == 0 {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}
