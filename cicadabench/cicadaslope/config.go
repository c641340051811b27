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

const measuredChanges = 50

func init() {
	measurements.Register("customers", measureCustomers)
}

// measureCustomers measures the memory and encoded size of the configuration and the
// cost of one change, for several numbers of customers.
func measureCustomers(ctx context.Context) ([]Slope, error) {
	var memory, applyTime, snapshotSize, updateSize []Point
	for _, n := range customerCounts {
		cost, err := measureConfigCost(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		memory = append(memory, Point{x, cost.memory})
		applyTime = append(applyTime, Point{x, cost.applyTime})
		snapshotSize = append(snapshotSize, Point{x, cost.snapshotSize})
		updateSize = append(updateSize, Point{x, cost.updateSize})
	}
	return []Slope{
		fitLine("customers/memory", "bytes per customer", memory),
		fitLine("customers/change", "seconds of a core per change, per customer", applyTime),
		fitLine("customers/snapshot", "bytes of a whole configuration per customer", snapshotSize),
		fitLine("customers/update", "bytes of one change to a follower, per customer", updateSize),
	}, nil
}

// A configCost is what a configuration and a change of it cost a process.
type configCost struct {
	memory       float64 // bytes
	applyTime    float64 // CPU seconds of one change
	snapshotSize float64 // bytes
	updateSize   float64 // bytes of one change, as sent to a follower
}

// measureConfigCost measures a configuration with the given number of customers.
func measureConfigCost(ctx context.Context, customers int) (configCost, error) {
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend(), cicadaplatform.WithWriteRate(1e6)), rand.Uint64)
	var document strings.Builder
	document.WriteString("kind: template\nname: desk\nparameters: {models: [a, b], urgency: normal, batch-concurrency: 64}\n")
	for i := range customers {
		fmt.Fprintf(&document, "---\nkind: customer\nname: customer-%d\ntemplate: desk\nkeys: [\"sha256:%064x\"]\nparameters: {urgency: high}\n", i, i)
	}
	resources, err := cicadaconfig.ParseResources("bench.yaml", []byte(document.String()))
	if err != nil {
		return configCost{}, err
	}
	if _, err := store.Apply(ctx, cicadaconfig.Request{Resources: resources}); err != nil {
		return configCost{}, err
	}
	memoryBefore := memoryInUse()
	snapshot, err := store.Load(ctx)
	if err != nil {
		return configCost{}, err
	}
	cost := configCost{memory: memoryInUse() - memoryBefore}
	data, err := snapshot.Encode()
	if err != nil {
		return configCost{}, err
	}
	cost.snapshotSize = float64(len(data))
	replica := cicadaconfig.NewReplica()
	replica.ReplaceIfNewer(snapshot)
	if err := measureChanges(store, replica, &cost); err != nil {
		return configCost{}, err
	}
	return cost, nil
}

// measureChanges applies measuredChanges changes of one customer. It stores their mean CPU
// time and the size of the last one in cost.
func measureChanges(store *cicadaconfig.Store, replica *cicadaconfig.Replica, cost *configCost) error {
	var changeSets []*cicadawire.ChangeSet
	baseRevision := replica.Snapshot().Revision()
	current := replica.Snapshot()
	for i := range measuredChanges {
		document := fmt.Sprintf("kind: customer\nname: customer-0\ntemplate: desk\nparameters: {batch-concurrency: %d}\n", i+1)
		resources, err := cicadaconfig.ParseResources("bench.yaml", []byte(document))
		if err != nil {
			return err
		}
		changeSet, err := store.Plan(current, cicadaconfig.Request{Operator: "bench", Reason: "measured", Resources: resources})
		if err != nil {
			return err
		}
		if current, err = current.Next(changeSet); err != nil {
			return err
		}
		changeSets = append(changeSets, changeSet)
	}
	startCPU := cpuTime()
	for _, changeSet := range changeSets {
		if err := replica.Apply([]*cicadawire.ChangeSet{changeSet}); err != nil {
			return merry.Errorf("apply change: %w", err)
		}
	}
	cost.applyTime = (cpuTime() - startCPU).Seconds() / measuredChanges
	update, err := replica.UpdateSince(baseRevision + measuredChanges - 1)
	if err != nil {
		return err
	}
	cost.updateSize = float64(len(update.GetChanges()))
	return nil
}
