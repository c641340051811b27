package cicadabatch

import (
	"time"

	"github.com/uber-go/tally/v4"
)

var (
	// runTimeBuckets range from 50 ms to 100 s.
	runTimeBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Millisecond, 2, 12)
	// timeLeftBuckets hold the time until a job is due; for late results it is negative.
	timeLeftBuckets = tally.DurationBuckets{
		-30 * time.Second, -10 * time.Second, -3 * time.Second, -time.Second, 0, time.Second, 2 * time.Second,
		4 * time.Second, 8 * time.Second, 16 * time.Second, time.Minute, 10 * time.Minute,
	}
)

// metrics are the metrics of an owner.
type metrics struct {
	runs               [len(outcomeNames)]tally.Counter
	runTime            tally.Histogram // of uninterrupted runs
	timeLeft           tally.Histogram // until a job is due, when a chunk of its results is listed
	preempted          tally.Counter
	restarted          tally.Counter // because the version that began the output was gone or busy
	checkpointsWritten tally.Counter
	checkpointsFailed  tally.Counter
	jobsInvalid        tally.Counter // with an item that cannot be sent, or that cannot be read
	jobsRefused        tally.Counter // beyond the limit of their route
	reads              [len(resultSourceNames)]tally.Counter
	pauses             tally.Counter // of the event loop
	renewals           tally.Counter // of the ownership of all jobs, after others may have run them
	catchUps           tally.Counter // with the jobs in the store, before items start
	callsAbandoned     tally.Counter // calls whose sender left before they were answered
	tooLarge           tally.Counter // items that failed because their result does not fit in an object
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		runTime: scope.Histogram("item_run_time", runTimeBuckets), timeLeft: scope.Histogram("result_time_left", timeLeftBuckets),
		preempted: scope.Counter("items_put_aside"), restarted: scope.Counter("items_restarted"), checkpointsWritten: scope.Counter("checkpoints_written"),
		checkpointsFailed: scope.Counter("checkpoints_failed"), jobsRefused: scope.Counter("jobs_refused"),
		jobsInvalid: scope.Counter("jobs_invalid"),
		tooLarge:    scope.Counter("results_too_large"), pauses: scope.Counter("event_loop_pauses"),
		renewals: scope.Counter("ownership_renewals"), callsAbandoned: scope.Counter("job_calls_abandoned"),
		catchUps: scope.Counter("job_catch_ups"),
	}
	for source, name := range resultSourceNames {
		m.reads[source] = scope.Tagged(map[string]string{"source": name}).Counter("result_reads")
	}
	for o, name := range outcomeNames {
		m.runs[o] = scope.Tagged(map[string]string{"outcome": name}).Counter("item_runs")
	}
	return m
}
