package cicadaslope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

var customerCounts = []int{100, 500, 1000, 2100}

const changesMeasured = 50

func init() {
	measurements.Register("customers", measureCustomers)
}

// measureCustomers grows the number of customers, and measures what the
// configuration holds and what one change costs a process.
func measureCustomers(ctx context.Context) ([]Slope, error) {
	var memory, change, whole, update []Point
	for _, n := range customerCounts {
		cost, err := configured(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		memory = append(memory, Point{x, cost.memory})
		change = append(change, Point{x, cost.change})
		whole = append(whole, Point{x, cost.whole})
		update = append(update, Point{x, cost.update})
	}
	return []Slope{
		fit("customers/memory", "bytes per customer", memory),
		fit("customers/change", "seconds of a core per change, per customer", change),
		fit("customers/snapshot", "bytes of a whole configuration per customer", whole),
		fit("customers/update", "bytes of one change to a follower, per customer", update),
	}, nil
}

type configCost struct {
	memory float64
	change float64
	whole  float64
	update float64
}

func configured(ctx context.Context, n int) (configCost, error) {
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend(), cicadaplatform.WithWriteRate(1e6)), rand.Uint64)
	var text strings.Builder
	text.WriteString("kind: template\nname: desk\nparameters: {models: [a, b], urgency: normal, batch-concurrency: 64}\n")
	for i := range n {
		fmt.Fprintf(&text, "---\nkind: customer\nname: customer-%d\ntemplate: desk\nkeys: [\"sha256:%064x\"]\nparameters: {urgency: high}\n", i, i)
	}
	resources, err := cicadaconfig.ParseResources("bench.yaml", []byte(text.String()))
	if err != nil {
		return configCost{}, err
	}
	if _, err := store.Apply(ctx, cicadaconfig.Request{Resources: resources}); err != nil {
		return configCost{}, err
	}
	before := heap()
	snapshot, err := store.Load(ctx)
	if err != nil {
		return configCost{}, err
	}
	cost := configCost{memory: heap() - before}
	data, err := snapshot.Encode()
	if err != nil {
		return configCost{}, err
	}
	cost.whole = float64(len(data))
	holder := cicadaconfig.NewHolder()
	holder.Offer(snapshot)
	if err := measureChanges(store, holder, &cost); err != nil {
		return configCost{}, err
	}
	return cost, nil
}

// measureChanges applies changes of one customer, and measures their cost.
func measureChanges(store *cicadaconfig.Store, holder *cicadaconfig.Holder, cost *configCost) error {
	var sets []*cicadawire.ChangeSet
	base := holder.Snapshot().Revision()
	current := holder.Snapshot()
	for i := range changesMeasured {
		text := fmt.Sprintf("kind: customer\nname: customer-0\ntemplate: desk\nparameters: {batch-concurrency: %d}\n", i+1)
		resources, err := cicadaconfig.ParseResources("bench.yaml", []byte(text))
		if err != nil {
			return err
		}
		set, err := store.Plan(current, cicadaconfig.Request{Operator: "bench", Reason: "measured", Resources: resources})
		if err != nil {
			return err
		}
		if current, err = current.Next(set); err != nil {
			return err
		}
		sets = append(sets, set)
	}
	used := processorTime()
	for _, set := range sets {
		if err := holder.Apply([]*cicadawire.ChangeSet{set}); err != nil {
			return merry.Errorf("apply: %w", err)
		}
	}
	cost.change = (processorTime() - used).Seconds() / changesMeasured
	update, err := holder.Since(base + changesMeasured - 1)
	if err != nil {
		return err
	}
	cost.update = float64(len(update.GetChanges()))
	return nil
}
