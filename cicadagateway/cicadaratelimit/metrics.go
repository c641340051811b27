package cicadaratelimit

import "github.com/uber-go/tally/v4"

// metrics counts decisions and messages.
type metrics struct {
	allowed  tally.Counter
	refused  tally.Counter
	unknown  tally.Counter
	requests tally.Counter // sent to other entries
	retries  tally.Counter // of requests without a reply
	granted  tally.Counter // tokens granted to other entries and to this one
	returned tally.Counter // tokens returned unused
	resets   tally.Counter // suspensions noticed
}

func newMetrics(scope tally.Scope) metrics {
	decisions := func(result string) tally.Counter {
		return scope.Tagged(map[string]string{"result": result}).Counter("rate_limit_decisions")
	}
	return metrics{
		allowed: decisions("allowed"), refused: decisions("refused"), unknown: decisions("unknown"),
		requests: scope.Counter("rate_limit_requests_sent"),
		retries:  scope.Counter("rate_limit_requests_repeated"),
		granted:  scope.Counter("rate_limit_tokens_granted"),
		returned: scope.Counter("rate_limit_tokens_returned"),
		resets:   scope.Counter("rate_limit_resets"),
	}
}
