package cicadarelay

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	defaultMaxBody    = 4 << 20  // bytes
	defaultBodyMemory = 32 << 20 // bytes, of all bodies in flight
	bodyReadTimeout   = 10 * time.Second
	bodyRetryAfter    = 200 * time.Millisecond // while the memory for bodies is used up
)

var errBodyMemory = merry.Sentinel("cicadarelay: request bodies in flight exceed the memory limit")

// bodyMemory limits the memory used by the bodies of requests in flight. The zero
// value uses the default limit.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// read reads the body of a request, which may have at most limit bytes. The caller
// must release size bytes, even after an error.
func (m *bodyMemory) read(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, size int64, err error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	reader := &countingReader{Reader: http.MaxBytesReader(w, r.Body, limit), memory: m}
	body, err = io.ReadAll(reader)
	if err != nil {
		return nil, reader.size, merry.Errorf("read body: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, reader.size, nil
}

func (m *bodyMemory) release(size int64) { m.used.Add(-size) }

// A countingReader adds the bytes that it reads to the memory in use.
type countingReader struct {
	io.Reader
	memory *bodyMemory
	size   int64
}

// Read fails with errBodyMemory when the memory limit is exceeded.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.size += int64(n)
	limit := c.memory.limit
	if limit <= 0 {
		limit = defaultBodyMemory
	}
	if c.memory.used.Add(int64(n)) > limit {
		return n, errBodyMemory
	}
	return n, err
}
