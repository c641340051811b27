package cicadaprocess

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadafreshness"
	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadagateway/cicadaratelimit"
)

// Guards against messages of one kind that are taken for another.
func TestFirstKeyTellsKindsOfMessages(t *testing.T) {
	for want, m := range map[int]any{
		1:  cicadaorigin.Message{From: "a"},
		2:  cicadaorigin.Message{Records: []cicadaorigin.Record{{Stream: "s"}}},
		10: cicadafreshness.Message{From: "a"},
		20: cicadaratelimit.Message{From: "a"},
		23: cicadaratelimit.Message{View: &cicadaratelimit.View{Live: 1}},
	} {
		b, err := cbor.Marshal(m)
		assert.NilError(t, err)
		assert.Equal(t, firstMapKey(b), want)
	}
	for _, b := range [][]byte{nil, {0xa0}, {0xa1, 0x18}, {0xa1, 0x61, 'k', 0}} {
		assert.Equal(t, firstMapKey(b), 0)
	}
}
