package cicadakernel

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
)

const (
	// logBuffer bounds the text that waits to be written, in bytes.
	logBuffer = 1 << 20
	// logInterval is how often waiting text is written.
	logInterval = 25 * time.Millisecond
	// maxLogWrite is how much one write may hold, in bytes: a pipe takes so much as
	// a whole, and does not mix it with what others write.
	maxLogWrite = 4096
	closeTime   = 200 * time.Millisecond
)

// A LogWriter passes lines on to another writer without ever blocking: a
// goroutine writes what has gathered, and lines that find the buffer full are
// dropped and counted.
type LogWriter struct {
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	limit   int
	dropped atomic.Int64
	out     io.Writer
	wake    chan struct{}
	done    chan struct{}
	wg      conc.WaitGroup
}

// NewLogWriter returns a writer to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, limit: logBuffer, wake: make(chan struct{}, 1), done: make(chan struct{})}
	w.wg.Go(func() {
		told := int64(0)
		for {
			select {
			case <-w.wake:
				w.pause()
				told = w.flush(told)
			case <-w.done:
				w.flush(told)
				return
			}
		}
	})
	return w
}

// Write takes in a line. It never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > w.limit {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what has gathered. If the output is stuck it gives up after
// closeTime: a process must be able to end.
func (w *LogWriter) Close() error {
	close(w.done)
	ended := make(chan struct{})
	go func() {
		w.wg.Wait()
		close(ended)
	}()
	timer := time.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-ended:
		return nil
	case <-timer.C:
		return merry.Errorf("close log: %w", context.DeadlineExceeded)
	}
}

// pause lets lines gather, so that one call writes many.
func (w *LogWriter) pause() {
	timer := time.NewTimer(logInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.done:
	}
}

func (w *LogWriter) flush(told int64) int64 {
	w.mu.Lock()
	text := w.buffer
	w.buffer, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	dropped := w.dropped.Load()
	if dropped > told {
		text = fmt.Appendf(text, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", dropped-told)
	}
	for rest := text; len(rest) > 0; {
		n := wholeLines(rest)
		_, _ = w.out.Write(rest[:n]) // there is nowhere left to report a failure to
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = text[:0]
	w.mu.Unlock()
	return dropped
}

// wholeLines returns how much of a text fits in one write without cutting a line.
// A line that is longer is written by itself.
func wholeLines(text []byte) int {
	if len(text) <= maxLogWrite {
		return len(text)
	}
	if end := bytes.LastIndexByte(text[:maxLogWrite], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end + 1
	}
	return len(text)
}
