package cicadamemory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestEndlessBytesLeaveRoomForOthers guards against a process whose memory is used up by
// peers that send bytes without end: each of them fails, and less than the limit is held.
func TestEndlessBytesLeaveRoomForOthers(t *testing.T) {
	b := NewBudget(16 << 20)
	holders := make([]*Reservation, 150)
	for i := range holders {
		holders[i] = b.Reserve()
	}
	for failed := 0; failed < len(holders); {
		failed = 0
		for _, held := range holders {
			if held.Grow(1<<10) != nil {
				failed++
			}
		}
	}
	assert.Assert(t, b.Used() < b.Limit(), "%d bytes held", b.Used())
	body, err := b.ReadAll(strings.NewReader(strings.Repeat("x", 32<<10)), 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, body.Len(), 32<<10)
	body.Release()
	for _, held := range holders {
		held.Release()
	}
	assert.Equal(t, b.Used(), int64(0))
}

// TestReadAllHoldsNothingAfterAnError guards against memory that stays reserved for bytes
// that were dropped.
func TestReadAllHoldsNothingAfterAnError(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name  string
		r     io.Reader
		limit int64
		err   error
	}{
		{"exhausted", endless{}, 1 << 30, ErrExhausted},
		{"too large", endless{}, 1 << 10, ErrTooLarge},
		{"too large by one byte", strings.NewReader("12345"), 4, ErrTooLarge},
		{"reader fails", io.MultiReader(strings.NewReader("abc"), failingReader{broken}), 1 << 10, broken},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget(1 << 20)
			_, err := b.ReadAll(test.r, test.limit)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Equal(t, b.Used(), int64(0))
		})
	}
}

// failingReader is a reader that fails.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// TestBufferHoldsWhatWasRead checks that a Buffer returns the same bytes in each form and that
// at least their size is reserved.
func TestBufferHoldsWhatWasRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("abcdefg"), rapid.IntRange(0, 40_000).Draw(t, "blocks"))
		b := NewBudget(1 << 20)
		buffer, err := b.ReadAll(bytes.NewReader(want), int64(len(want)))
		assert.NilError(t, err)
		assert.Assert(t, b.Used() >= int64(len(want)), "%d bytes reserved", b.Used())
		var written bytes.Buffer
		_, err = buffer.WriteTo(&written)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(written.Bytes(), want))
		assert.Assert(t, bytes.Equal(buffer.Bytes(), want))
		assert.Equal(t, buffer.Len(), len(want))
		buffer.Release()
		assert.Equal(t, b.Used(), int64(0))
	})
}
