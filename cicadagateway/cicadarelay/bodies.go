package cicadarelay

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadamemory"
)

const (
	defaultMaxBody  = 4 << 20 // bytes
	bodyReadTimeout = 10 * time.Second
	bodyRetryAfter  = 200 * time.Millisecond // while the memory for bodies is used up
)

// readBody reads the body of a request, which may have at most limit bytes. The caller must
// release it.
func (rl *Relay) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*cicadamemory.Buffer, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength == 0 {
		return &cicadamemory.Buffer{}, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := rl.bodies.ReadAll(http.MaxBytesReader(w, r.Body, limit), limit)
	if err != nil {
		return nil, merry.Errorf("read body: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
