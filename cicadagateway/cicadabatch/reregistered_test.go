package cicadabatch

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// Guards against checkpoints of an item that are lost from the time on at which the incarnation
// that began it was registered.
func TestCheckpointsContinueWhenTheVersionIsFound(t *testing.T) {
	dir := t.TempDir()
	f, err := OpenCheckpoints(dir)
	assert.NilError(t, err)
	unknown, found := cicadaorigin.Origin{Service: "s", Version: cicadaview.UnknownVersion}, cicadaorigin.Origin{Service: "s", Version: "v2"}
	for _, p := range []Progress{
		{Item: "i", Origin: unknown, Last: 1, Text: "a"},
		{Item: "i", From: 1, Base: xxhash.Sum64String("a"), Origin: found, Last: 2, Text: "\nb"},
		{Item: "i", From: 2, Base: xxhash.Sum64String("a\nb"), Origin: found, Last: 3, Text: "\nc", State: adapter.StateComplete},
	} {
		_, err := f.save([]Checkpoint{{Job: "j", Items: []Progress{p}}}, false)
		assert.NilError(t, err)
	}
	assert.NilError(t, f.log.Close())
	it := openCheckpoints(t, dir).recovered["j"]["i"]
	assert.Equal(t, it.output.String(), "a\nb\nc")
	assert.Equal(t, it.origin, found)
	assert.Equal(t, it.resultState, adapter.StateComplete)
}
