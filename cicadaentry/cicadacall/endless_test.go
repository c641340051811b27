package cicadacall

import (
	"testing"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadamemory"
)

// TestDeltasWithoutEnd guards against a response whose memory grows without limit because only its
// text is counted.
func TestDeltasWithoutEnd(t *testing.T) {
	response := NewResponse(nil)
	delta := cicadadispatch.Chunk{Extra: make([]byte, 1<<20)}
	var err error
	for n := 0; err == nil && n < 2*MaxResponseBytes; n += len(delta.Extra) {
		err = response.Add(delta)
	}
	assert.Equal(t, cicadaerror.From(err).Code(), cicadaerror.TooLarge)
}

// TestResponsesWithoutEndOfManyRequests guards against an entry that runs out of memory because
// many responses at once are without end, each of which is limited.
func TestResponsesWithoutEndOfManyRequests(t *testing.T) {
	const requests, limit = 50, 8 << 20
	memory := cicadamemory.NewBudget(limit)
	responses := make([]*Response, requests)
	for i := range responses {
		responses[i] = NewResponse(memory)
	}
	chunk := cicadadispatch.Chunk{Data: make([]byte, 4<<10)}
	for failed := 0; failed < requests; {
		failed = 0
		for _, response := range responses {
			if err := response.Add(chunk); err != nil {
				failed++
				assert.Equal(t, cicadaerror.From(err).Code(), cicadaerror.EngineFailed)
				assert.Assert(t, !cicadaerror.From(err).IsNotRun())
			}
		}
	}
	kept := 0
	for _, response := range responses {
		kept += len(response.Text())
	}
	assert.Assert(t, kept <= limit/bufferGrowth, "%d bytes kept", kept)
	sound := NewResponse(memory)
	for range 4 {
		assert.NilError(t, sound.Add(chunk))
	}
	sound.Release()
	for _, response := range responses {
		response.Release()
	}
	assert.Equal(t, memory.Used(), int64(0))
}
