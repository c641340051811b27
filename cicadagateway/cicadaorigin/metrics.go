package cicadaorigin

import "github.com/uber-go/tally/v4"

// metrics counts records, and lookups by how they ended.
type metrics struct {
	scope           tally.Scope
	recordsSent     tally.Counter
	recordsReceived tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:           scope,
		recordsSent:     scope.Counter("stream_records_sent"),
		recordsReceived: scope.Counter("stream_records_received"),
	}
}

func (m metrics) countLookup(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("stream_origins_looked_up").Inc(1)
}
