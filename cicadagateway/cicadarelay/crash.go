package cicadarelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// maxReportedParts limits the parts of a prompt that a crash is blamed on.
const maxReportedParts = 16

// reasonCrashesEndpoints is the reason why a request is refused that crashes endpoints.
const reasonCrashesEndpoints = "crashes-endpoints"

var errCrashesEndpoints = merry.Sentinel("cicadarelay: request crashes endpoints")

// sharedParts returns hashes of the parts of a request's prompt that other requests may
// share: all but the last.
func sharedParts(h http.Header) []uint64 {
	parts := adapter.PromptParts(h.Get(adapter.HeaderPrefix))
	if len(parts) < 2 {
		return nil
	}
	hashes := make([]uint64, len(parts)-1)
	for i := range hashes {
		hashes[i] = xxhash.Sum64String(parts[i])
	}
	return hashes
}

// refused reports whether the request must not be sent to an endpoint any more, because
// it has come under quarantine since it arrived.
func (x *exchange) refused() bool {
	_, refused := x.relay.monitor.Check(x.fingerprint, x.parts, time.Now())
	return refused
}

// recordAnswer records that the endpoint has begun to answer. Its prompt does not crash
// endpoints, then.
func (x *exchange) recordAnswer() {
	if !x.answered {
		x.answered = true
		x.relay.monitor.RecordAnswer(x.parts, x.sentAt, time.Now())
	}
}

// recordCrash records a run that ended without a valid response. A run that had got an
// event is no evidence: a request that crashes endpoints does so before, and the others
// that they were running break off with it. The parts of the prompt are blamed only if the
// endpoint has crashed, and not if an answer was lost. An answer for which this process had no
// memory is no evidence either.
func (x *exchange) recordCrash(endpoint cicadaview.Endpoint, err error) {
	if x.answered || errors.Is(err, cicadamemory.ErrExhausted) {
		x.relay.log.Info("broken run is no evidence", "id", x.id, "endpoint", endpoint.ID, "answered", x.answered)
		return
	}
	monitor, client, log, id := x.relay.monitor, x.relay.client, x.relay.log, x.id
	run := endpoint.ID + " " + x.id
	c := cicadasuspect.Crash{Request: x.fingerprint, Run: xxhash.Sum64String(run), Endpoint: xxhash.Sum64String(endpoint.ID)}
	monitor.RecordCrash(c, time.Now())
	if len(x.parts) == 0 || !errors.Is(err, cicadaexchange.ErrInvalidResponse) || errors.Is(err, cicadaexchange.ErrTooLarge) {
		return
	}
	c.Run = xxhash.Sum64String(run + " parts")
	c.Parts = x.parts[max(len(x.parts)-maxReportedParts, 0):]
	x.relay.tasks.Go(func() {
		refused := client.Refused(context.Background(), endpoint.Address)
		log.Info("endpoint of a broken run checked", "id", id, "endpoint", endpoint.ID, "refuses-connections", refused)
		if refused {
			monitor.RecordCrash(c, time.Now())
		}
	})
}
