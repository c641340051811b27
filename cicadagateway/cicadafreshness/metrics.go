package cicadafreshness

import "github.com/uber-go/tally/v4"

// metrics counts messages, reads and expired confirmations.
type metrics struct {
	queriesSent    tally.Counter
	repliesSent    tally.Counter
	repliesIgnored tally.Counter // replies to unknown queries
	readsRequested tally.Counter
	expired        tally.Counter // transitions from fresh to not fresh
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		queriesSent:    scope.Counter("config_confirmation_queries_sent"),
		repliesSent:    scope.Counter("config_confirmation_replies_sent"),
		repliesIgnored: scope.Counter("config_confirmation_replies_ignored"),
		readsRequested: scope.Counter("config_confirmation_reads"),
		expired:        scope.Counter("config_confirmations_expired"),
	}
}
