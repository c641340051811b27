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

	"cicadalink.example/cicadakernel/cicadatask"
)

const (
	// maxLogBuffer limits the buffered output, in bytes.
	maxLogBuffer = 1 << 20
	// logFlushInterval is the delay between the first buffered line and the flush.
	logFlushInterval = 25 * time.Millisecond
	// maxLogWrite is the largest write, in bytes. Writes of up to PIPE_BUF bytes (4096
	// on Linux) to a pipe are atomic, so they don't interleave with other writers.
	maxLogWrite = 4096
	// logCloseTimeout limits how long Close waits for the last flush.
	logCloseTimeout = 200 * time.Millisecond
)

// A LogWriter buffers log lines and writes them to another writer in the
// background, so that Write never blocks. Lines that don't fit into the buffer
// are dropped and counted.
type LogWriter struct {
	mu        sync.Mutex
	buffer    []byte
	spare     []byte
	maxBuffer int
	dropped   atomic.Int64
	out       io.Writer
	pending   chan struct{}
	done      chan struct{}
	wg        cicadatask.Group
}

// NewLogWriter returns a LogWriter that writes to out. Close stops its goroutine.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, maxBuffer: maxLogBuffer, pending: make(chan struct{}, 1), done: make(chan struct{})}
	w.wg.Go(func() {
		reported := int64(0)
		for {
			select {
			case <-w.pending:
				w.waitForLines()
				reported = w.flush(reported)
			case <-w.done:
				w.flush(reported)
				return
			}
		}
	})
	return w
}

// Write buffers a line, or drops it if the buffer is full. It never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > w.maxBuffer {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	w.mu.Unlock()
	select {
	case w.pending <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close flushes the buffer. It gives up after logCloseTimeout, so that a blocked
// output cannot keep the process from exiting.
func (w *LogWriter) Close() error {
	close(w.done)
	flushed := make(chan struct{})
	go func() {
		w.wg.Wait()
		close(flushed)
	}()
	timer := time.NewTimer(logCloseTimeout)
	defer timer.Stop()
	select {
	case <-flushed:
		return nil
	case <-timer.C:
		return merry.Errorf("flush log: %w", context.DeadlineExceeded)
	}
}

// waitForLines waits for logFlushInterval, so that one write holds many lines.
func (w *LogWriter) waitForLines() {
	timer := time.NewTimer(logFlushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.done:
	}
}

// flush writes the buffered lines, followed by a warning if more lines than
// reported have been dropped. It returns the number of dropped lines.
func (w *LogWriter) flush(reported int64) int64 {
	w.mu.Lock()
	text := w.buffer
	w.buffer, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	dropped := w.dropped.Load()
	if dropped > reported {
		text = fmt.Appendf(text, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", dropped-reported)
	}
	for rest := text; len(rest) > 0; {
		n := nextWriteSize(rest)
		_, _ = w.out.Write(rest[:n]) // the log itself is the only place to report an error
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = text[:0]
	w.mu.Unlock()
	return dropped
}

// nextWriteSize returns the length of the longest prefix of text that holds only
// complete lines and fits in one write. A line longer than maxLogWrite is written
// by itself.
func nextWriteSize(text []byte) int {
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
