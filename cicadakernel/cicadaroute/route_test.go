package cicadaroute

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawViews(t *rapid.T) []EndpointView {
	n := rapid.IntRange(1, 40).Draw(t, "n")
	views := make([]EndpointView, n)
	for i := range views {
		slots := rapid.IntRange(1, 32).Draw(t, "slots")
		views[i] = EndpointView{
			Name:           fmt.Sprint("w-", i),
			Slots:          slots,
			Online:         rapid.IntRange(0, slots).Draw(t, "online"),
			Batch:          rapid.IntRange(0, slots).Draw(t, "batch"),
			FirstTokenTime: time.Duration(rapid.IntRange(1, 2000).Draw(t, "first")) * time.Millisecond,
			InterTokenTime: time.Duration(rapid.IntRange(1, 500).Draw(t, "token")) * time.Millisecond,
			Samples:        rapid.IntRange(0, 20).Draw(t, "samples"),
			Unusable:       rapid.Bool().Draw(t, "unusable"),
			Stalled:        rapid.Bool().Draw(t, "stalled"),
			Ejected:        rapid.Bool().Draw(t, "ejected"),
		}
	}
	return views
}

func TestEjectedFractionIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := drawViews(t)
		usable, ejected := 0, 0
		for i, isOutlier := range DetectOutliers(views) {
			if !views[i].Unusable {
				usable++
			}
			if isOutlier {
				ejected++
			}
		}
		if float64(ejected) > maxEjectedFraction*float64(usable) {
			t.Fatalf("%d of %d usable endpoints are ejected", ejected, usable)
		}
	})
}

func TestOnlinePrefersHealthyEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := drawViews(t)
		prefix := rapid.Uint64().Draw(t, "prefix")
		i := SelectOnline(views, Criteria{Prefix: prefix}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		healthy, usable := 0, 0
		for _, v := range views {
			if !v.Unusable {
				usable++
				if !v.Stalled && !v.Ejected {
					healthy++
				}
			}
		}
		switch {
		case usable == 0:
			if i != -1 {
				t.Fatalf("endpoint %d is selected although none is usable", i)
			}
		case i < 0 || views[i].Unusable:
			t.Fatalf("endpoint %d is selected, which is not usable", i)
		case healthy > 0 && (views[i].Stalled || views[i].Ejected):
			t.Fatalf("an ejected or stalled endpoint is selected although %d are healthy", healthy)
		}
	})
}

func TestBatchNeedsFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := drawViews(t)
		i := SelectBatch(views, Criteria{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		if i >= 0 && views[i].FreeBatchSlots() <= 0 {
			t.Fatalf("an endpoint without a free slot is selected: %+v", views[i])
		}
	})
}

func TestLessUrgentAreShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0, 4).Draw(t, "load")
		level := rapid.Int32Range(0, 2).Draw(t, "level")
		if ShouldShed(load, level+1) && !ShouldShed(load, level) {
			t.Fatalf("urgency %d is shed before %d at load %f", level+1, level, load)
		}
	})
}
