package cicadarelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
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
// endpoints before that, then.
func (x *exchange) recordAnswer() {
	if !x.answered {
		x.answered = true
		x.relay.monitor.RecordAnswer(x.parts, x.sentAt, time.Now())
	}
}

// recordSuccess records that the endpoint has answered completely, as far as that can be told: a response
// that ends with its connection is complete only if the endpoint has not crashed. The rest of a
// stream that another endpoint began proves nothing of its beginning.
func (x *exchange) recordSuccess(res *cicadaexchange.Response, grant *cicadaplace.Grant) {
	x.recordAnswer()
	if x.resumed {
		x.relay.monitor.Requests().RecordSuccess(x.fingerprint)
		return
	}
	monitor, request, parts, sentAt, now := x.relay.monitor, x.fingerprint, x.parts, x.sentAt, time.Now()
	record := func() { monitor.RecordSuccess(request, parts, sentAt, now) }
	if !res.Framed() {
		x.checkEndpoint(grant, record)
		return
	}
	record()
}

// recordCrash records a run that ended without a valid response. If it had got no event, it is
// evidence against the request, whether the endpoint has crashed or only its answer was lost. If the
// endpoint has crashed, it is evidence against the parts of the prompt as well, and against a
// request that comes again. An answer for which this process had no memory is no evidence.
func (x *exchange) recordCrash(grant *cicadaplace.Grant, err error) {
	if errors.Is(err, cicadamemory.ErrExhausted) {
		return
	}
	c := x.crash(grant.Endpoint())
	if !c.Answered {
		c.Lost = true
		x.relay.monitor.RecordCrash(c, time.Now())
	}
	if !errors.Is(err, cicadaexchange.ErrInvalidResponse) || errors.Is(err, cicadaexchange.ErrTooLarge) {
		return
	}
	if !c.Answered && len(x.parts) == 0 {
		return // recorded above
	}
	x.checkEndpoint(grant, func() {})
}

// crash returns the report of a crash that ends the current run.
func (x *exchange) crash(endpoint cicadaview.Endpoint) cicadasuspect.Crash {
	run := endpoint.ID + " " + x.id + " " + strconv.FormatInt(x.sentAt.UnixNano(), 10)
	return cicadasuspect.Crash{
		Request: x.fingerprint, Run: xxhash.Sum64String(run), Endpoint: incarnationHash(endpoint), SentAt: x.sentAt, Answered: x.answered,
	}
}

// checkEndpoint finds out whether the endpoint of the current run has ended, which is recorded as a crash,
// and otherwise calls alive.
func (x *exchange) checkEndpoint(grant *cicadaplace.Grant, alive func()) {
	endpoint, started := grant.Endpoint(), grant.Endpoint().StartedMs
	if stated := grant.StatedStart(); stated > 0 {
		started = stated
	}
	c := x.crash(endpoint)
	c.Run++ // another report than that of a lost answer
	c.Parts = x.parts[max(len(x.parts)-maxReportedParts, 0):]
	relay, id := x.relay, x.id
	relay.tasks.Go(func() {
		ended := relay.client.Ended(context.Background(), endpoint.Address, started)
		relay.log.Info("endpoint of a run checked", "id", id, "endpoint", endpoint.ID, "start", started, "answered", c.Answered, "ended", ended)
		if ended {
			relay.monitor.RecordCrash(c, time.Now())
			return
		}
		alive()
	})
}

// incarnationHash identifies an incarnation of an endpoint, which crashes once.
func incarnationHash(e cicadaview.Endpoint) uint64 {
	return xxhash.Sum64String(e.ID + " " + strconv.FormatInt(e.StartedMs, 10))
}
