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

// blockedWriter blocks every Write until unblocked is closed.
type blockedWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	text      bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Lines beyond the buffer limit are dropped and counted while the output blocks.
func TestWriteDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblocked: make(chan struct{})}
		w := NewLogWriter(out)
		w.maxBuffer = 100
		start := time.Now()
		_, err := w.Write([]byte("first\n"))
		assert.NilError(t, err)
		time.Sleep(time.Second) // the background goroutine is blocked writing the first line
		for range 50 {
			_, err := w.Write([]byte("0123456789\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, w.Dropped(), int64(41))
		close(out.unblocked)
		assert.NilError(t, w.Close())
		assert.Equal(t, strings.Count(out.text.String(), "0123456789"), 9)
		assert.Assert(t, strings.Contains(out.text.String(), `"lines":41`))
	})
}

// A process whose output is a pipe that nobody reads must still be able to exit.
func TestCloseTimesOutWhenOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblocked: make(chan struct{})}
		w := NewLogWriter(out)
		_, err := w.Write([]byte("last\n"))
		assert.NilError(t, err)
		start := time.Now()
		assert.ErrorIs(t, w.Close(), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), logCloseTimeout)
		close(out.unblocked)
		synctest.Wait()
	})
}

func TestWritesContainCompleteLines(t *testing.T) {
	line := strings.Repeat("x", 999) + "\n"
	long := strings.Repeat("y", 5000) + "\n"
	assert.Equal(t, nextWriteSize([]byte(line)), 1000)
	assert.Equal(t, nextWriteSize([]byte(strings.Repeat(line, 10))), 4000)
	assert.Equal(t, nextWriteSize([]byte(long+line)), 5001)
	assert.Equal(t, nextWriteSize([]byte(long[:5000])), 5000)
}
