package cicadakernel

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stuckWriter blocks until it is freed.
type stuckWriter struct {
	mu    sync.Mutex
	freed chan struct{}
	text  bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.freed
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{freed: make(chan struct{})}
		w := NewLogWriter(out)
		w.limit = 100
		start := time.Now()
		_, err := w.Write([]byte("first\n"))
		assert.NilError(t, err)
		time.Sleep(time.Second) // the writer is stuck with the first line
		for range 50 {
			_, err := w.Write([]byte("0123456789\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, w.Dropped(), int64(41))
		close(out.freed)
		assert.NilError(t, w.Close())
		assert.Equal(t, strings.Count(out.text.String(), "0123456789"), 9)
		assert.Assert(t, strings.Contains(out.text.String(), `"lines":41`))
	})
}

// TestProcessEndsThoughItsOutputIsStuck answers a pipe that nobody reads when the
// process is told to stop.
func TestProcessEndsThoughItsOutputIsStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{freed: make(chan struct{})}
		w := NewLogWriter(out)
		_, err := w.Write([]byte("last\n"))
		assert.NilError(t, err)
		start := time.Now()
		assert.ErrorIs(t, w.Close(), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), closeTime)
		close(out.freed)
		synctest.Wait()
	})
}

func TestWritesHoldWholeLines(t *testing.T) {
	line := strings.Repeat("x", 999) + "\n"
	long := strings.Repeat("y", 5000) + "\n"
	assert.Equal(t, wholeLines([]byte(line)), 1000)
	assert.Equal(t, wholeLines([]byte(strings.Repeat(line, 10))), 4000)
	assert.Equal(t, wholeLines([]byte(long+line)), 5001)
	assert.Equal(t, wholeLines([]byte(long[:5000])), 5000)
}
