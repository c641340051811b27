package cicadabatch

import (
	"time"

	"github.com/uber-go/tally/v4"
)

var (
	// runBuckets reach from 50 ms to 100 s.
	runBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Millisecond, 2, 12)
	// leftBuckets hold the time to a job's due time; late results are below 0.
	leftBuckets = tally.DurationBuckets{
		-30 * time.Second, -10 * time.Second, -3 * time.Second, -time.Second, 0, time.Second, 2 * time.Second,
		4 * time.Second, 8 * time.Second, 16 * time.Second, time.Minute, 10 * time.Minute,
	}
)

// metrics are what an owner counts.
type metrics struct {
	runs       [len(outcomeNames)]tally.Counter
	runTime    tally.Histogram // of whole runs from an item's first event
	left       tally.Histogram // until a job is due, when results of it are listed
	putAside   tally.Counter
	saved      tally.Counter
	saveFailed tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		runTime: scope.Histogram("item_run_time", runBuckets), left: scope.Histogram("result_time_left", leftBuckets),
		putAside: scope.Counter("items_put_aside"), saved: scope.Counter("checkpoints_written"),
		saveFailed: scope.Counter("checkpoints_failed"),
	}
	for o, name := range outcomeNames {
		m.runs[o] = scope.Tagged(map[string]string{"outcome": name}).Counter("item_runs")
	}
	return m
}
