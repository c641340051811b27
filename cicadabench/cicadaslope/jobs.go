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
	itemCounts = []int{1000, 5000, 20000, 50000}
	jobCounts  = []int{10, 100, 300}
	logLengths = []int{100, 1000, 3000}
)

const (
	itemTime      = 5 * time.Millisecond
	itemAnswer    = 800
	itemsOfJob    = 1000
	itemsOfRecord = 60
	jobLimit      = 5 * time.Minute
	jobPoll       = 50 * time.Millisecond
)

func init() {
	measurements.Register("items", measureItems)
	measurements.Register("jobs", measureJobs)
	measurements.Register("replay", measureReplay)
}

// measureItems grows one job, and measures what its items cost the owner and
// the platform.
func measureItems(ctx context.Context) ([]Slope, error) {
	var processor, memory, writes, reads []Point
	for _, n := range itemCounts {
		cost, err := worked(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		processor = append(processor, Point{x, cost.processor})
		memory = append(memory, Point{x, cost.memory})
		writes = append(writes, Point{x, cost.writes})
		reads = append(reads, Point{x, cost.reads})
	}
	return []Slope{
		fit("items/processor", "seconds of a core per item, store's end included", processor),
		fit("items/memory", "peak bytes per item, without the store", memory),
		fit("items/writes", "platform writes per item", writes),
		fit("items/reads", "platform reads per item", reads),
	}, nil
}

type itemCost struct {
	processor float64
	memory    float64
	writes    float64
	reads     float64
}

type instant struct{}

// Run answers an item after a short time.
func (instant) Run(ctx context.Context, _ *cicadadispatch.Request, sink func(cicadadispatch.Chunk) error) (*cicadadispatch.Result, error) {
	if err := wait(ctx, itemTime); err != nil {
		return nil, err
	}
	return &cicadadispatch.Result{}, sink(cicadadispatch.Chunk{Data: answer()})
}

// answer returns text that compresses as text does, not as a repeated letter.
func answer() []byte {
	words := strings.Fields("the maple mallet head turns true its ash handle fits a wedge of beech sand finish oil dry order quote note")
	var text strings.Builder
	for text.Len() < itemAnswer {
		text.WriteString(words[rand.IntN(len(words))])
		text.WriteByte(' ')
	}
	return []byte(text.String())
}

type oneEntry struct{}

// EntryNames returns the only entry.
func (oneEntry) EntryNames() []string { return []string{"entry-1"} }

func worked(ctx context.Context, n int) (itemCost, error) {
	memory := cicadaplatform.NewMemory()
	client := cicadaplatform.NewClient(memory.Backend(), cicadaplatform.WithWriteRate(1000))
	snapshot, err := benchConfig(ctx, client)
	if err != nil {
		return itemCost{}, err
	}
	files := cicadafile.New(client, rand.Uint64)
	manager := cicadashard.New(cicadashard.Config{Name: "entry-1", Address: "entry-1", Shards: 1}, cicadashard.Deps{
		Store: client, Files: files, Config: func() *cicadaconfig.Snapshot { return snapshot }, Dispatcher: instant{}, Peers: oneEntry{},
		Nonce: rand.Uint64, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	defer manager.Close()
	calls := memory.Calls()
	job, err := upload(ctx, files, n)
	if err != nil {
		return itemCost{}, err
	}
	before, used := heap(), processorTime()
	if _, err := manager.Job(ctx, &cicadawire.JobRequest{Verb: cicadashard.VerbSubmit, Customer: "shop", Job: job}); err != nil {
		return itemCost{}, err
	}
	if err := untilEnded(ctx, manager, job.GetId()); err != nil {
		return itemCost{}, err
	}
	after := memory.Calls()
	cost := itemCost{
		processor: (processorTime() - used).Seconds(),
		writes:    float64(after["create"] + after["update"] + after["delete"] - calls["create"] - calls["update"] - calls["delete"]),
		reads:     float64(after["get"] + after["list"] - calls["get"] - calls["list"]),
	}
	stored := storedBytes(ctx, memory)
	cost.memory = heap() - before - stored
	return cost, nil
}

// storedBytes returns what the stand-in platform, in the same process, holds of
// results.
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

func benchConfig(ctx context.Context, client *cicadaplatform.Client) (*cicadaconfig.Snapshot, error) {
	text := "kind: group\nname: all\nmodels: [assistant]\nslots: 8\n---\nkind: template\nname: desk\nparameters: {models: [assistant]}\n---\nkind: customer\nname: shop\ntemplate: desk\n"
	resources, err := cicadaconfig.ParseResources("bench.yaml", []byte(text))
	if err != nil {
		return nil, err
	}
	store := cicadaconfig.NewStore(client, rand.Uint64)
	if _, err := store.Apply(ctx, cicadaconfig.Request{Resources: resources}); err != nil {
		return nil, err
	}
	return store.Load(ctx)
}

func upload(ctx context.Context, files *cicadafile.Store, n int) (*cicadawire.JobAccepted, error) {
	var lines strings.Builder
	for i := range n {
		fmt.Fprintf(&lines, `{"custom_id":"card-%d","body":{"model":"assistant","prompt":%q}}`+"\n", i, string(answer()[:200]))
	}
	meta, err := files.Upload(ctx, "shop", "cards", "batch", strings.NewReader(lines.String()))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &cicadawire.JobAccepted{
		Id: "job", Customer: "shop", Key: "job", File: meta.GetId(), Path: "/v1/completions", Items: int64(n),
		CreatedMs: now.UnixMilli(), DueMs: now.Add(time.Hour).UnixMilli(),
	}, nil
}

func untilEnded(ctx context.Context, manager *cicadashard.Manager, id string) error {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
	defer cancel()
	for {
		reply, err := manager.Job(ctx, &cicadawire.JobRequest{Verb: cicadashard.VerbGet, Customer: "shop", Id: id})
		if err != nil {
			return merry.Errorf("watch job: %w", err)
		}
		if reply.GetJobs()[0].GetEndedMs() != 0 {
			return nil
		}
		if err := wait(ctx, jobPoll); err != nil {
			return err
		}
	}
}

// measureJobs grows the number of jobs in one shard's state.
func measureJobs(context.Context) ([]Slope, error) {
	var memory, size []Point
	for _, n := range jobCounts {
		before := heap()
		state := cicadajob.NewState()
		fillState(state, n)
		memory = append(memory, Point{float64(n), heap() - before})
		data, err := state.Encode()
		if err != nil {
			return nil, err
		}
		size = append(size, Point{float64(n), float64(len(data))})
	}
	return []Slope{
		fit("jobs/memory", "bytes per job of 1000 items", memory),
		fit("jobs/snapshot", "bytes of a snapshot per job of 1000 items", size),
	}, nil
}

// fillState adds jobs whose items are all done.
func fillState(state *cicadajob.State, jobs int) {
	seq := int64(0)
	for j := range jobs {
		id := fmt.Sprintf("batch-%024d", j)
		accepted := &cicadawire.JobAccepted{Id: id, Customer: "shop", Key: id, File: "file-" + id, Path: "/v1/completions", Items: itemsOfJob}
		state.Apply(seq, []*cicadawire.Record{{Kind: &cicadawire.Record_JobAccepted{JobAccepted: accepted}}})
		for i := range int64(itemsOfJob) {
			if i%itemsOfRecord == 0 {
				seq++
			}
			done := &cicadawire.ItemDone{Job: id, Index: i}
			state.Apply(seq, []*cicadawire.Record{{Kind: &cicadawire.Record_ItemDone{ItemDone: done}}})
		}
	}
}

// measureReplay grows a shard's log, and measures the time from an owner's
// start until the shard is open again, with the snapshots that owners make.
func measureReplay(ctx context.Context) ([]Slope, error) {
	var points []Point
	for _, n := range logLengths {
		took, err := replayed(ctx, n)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), took.Seconds() * 1000})
	}
	return []Slope{fit("replay/time", "ms per segment, with snapshots", points)}, nil
}

func replayed(ctx context.Context, segments int) (time.Duration, error) {
	client := cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend(), cicadaplatform.WithWriteRate(1e6))
	snapshot, err := benchConfig(ctx, client)
	if err != nil {
		return 0, err
	}
	start := func() *cicadashard.Manager {
		return cicadashard.New(cicadashard.Config{Name: "entry-1", Address: "entry-1", Shards: 1, ClaimInterval: time.Microsecond}, cicadashard.Deps{
			Store: client, Files: cicadafile.New(client, rand.Uint64), Config: func() *cicadaconfig.Snapshot { return snapshot },
			Dispatcher: instant{}, Peers: oneEntry{}, Nonce: rand.Uint64, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		})
	}
	manager := start()
	for i := range segments {
		claim := &cicadawire.ClaimRequest{Customer: "shop", Key: fmt.Sprint("key-", i), Attempt: fmt.Sprint("attempt-", i), BudgetMs: jobLimit.Milliseconds()}
		if _, err := manager.Claim(ctx, claim); err != nil {
			return 0, merry.Errorf("fill log: %w", err)
		}
	}
	manager.Close()
	began := time.Now()
	manager = start()
	defer manager.Close()
	for len(manager.OwnedShards()) == 0 {
		if err := wait(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}
