package cicadarelay

import (
	"bytes"

	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// startSampling begins to measure how fast the endpoint of the grant serves the request. It returns
// nil for a second attempt or a resumed stream, whose times are not typical.
func (x *exchange) startSampling(grant *cicadaplace.Grant) *cicadaplace.Sampler {
	if x.sends > 1 || x.continues || x.resumedByCaller() {
		return nil
	}
	return grant.StartSampling(x.route.Kind == cicadaview.Stream, adapter.PromptTokens(x.r.Header))
}

// countEvents returns the number of events in complete events.
func countEvents(events []byte) int { return bytes.Count(events, eventEnd) }
