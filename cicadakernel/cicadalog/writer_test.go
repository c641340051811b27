package cicadalog

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// TestAddAfterClose covers records that are added after the writer has stopped, with and
// without a callback.
func TestAddAfterClose(t *testing.T) {
	store := cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend())
	w := NewWriter(New(store, "test", cicadaplatform.ClassResult), "w", 1, func() uint64 { return 1 }, func(int64, []*cicadawire.Record) {})
	w.Close()
	var got error
	w.Add(&cicadawire.Record{}, func(err error) { got = err })
	assert.Assert(t, errors.Is(got, ErrClosed))
	w.Add(&cicadawire.Record{}, nil)
}
