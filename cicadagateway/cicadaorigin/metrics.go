package cicadaorigin

import "github.com/uber-go/tally/v4"

// metrics counts records, and lookups by how they ended.
type metrics struct {
	scope           tally.Scope
	recordsSent     tally.Counter
	recordsReceived tally.Counter
	unregistered    tally.Counter // streams that began at an incarnation which was not registered yet
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:           scope,
		recordsSent:     scope.Counter("stream_records_sent"),
		recordsReceived: scope.Counter("stream_records_received"),
		unregistered:    scope.Counter("streams_begun_unregistered"),
	}
}

func (m metrics) countLookup(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("stream_origins_looked_up").Inc(1)
}
