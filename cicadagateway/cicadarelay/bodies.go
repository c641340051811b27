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
	defaultBodyMemory = 32 << 20 // bytes of all bodies in flight
	bodyTime          = 10 * time.Second
	bodyRetry         = 200 * time.Millisecond // when to come back while bodies fill the memory
)

var errBodies = merry.Sentinel("cicadarelay: bodies in flight fill their memory")

// bodies bounds the memory that the bodies of requests in flight take. The zero
// value has the default limit.
type bodies struct {
	limit int64
	held  atomic.Int64
}

// read reads a request's body, of at most max bytes. The bytes held must be
// released, also after an error.
func (b *bodies) read(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, held int64, err error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime))
	counted := &countedReader{Reader: http.MaxBytesReader(w, r.Body, limit), bodies: b}
	body, err = io.ReadAll(counted)
	if err != nil {
		return nil, counted.held, merry.Errorf("read body: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, counted.held, nil
}

func (b *bodies) release(held int64) { b.held.Add(-held) }

// A countedReader counts what is read among the bodies in flight.
type countedReader struct {
	io.Reader
	bodies *bodies
	held   int64
}

// Read reads on while there is memory.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.held += int64(n)
	limit := c.bodies.limit
	if limit <= 0 {
		limit = defaultBodyMemory
	}
	if c.bodies.held.Add(int64(n)) > limit {
		return n, errBodies
	}
	return n, err
}
