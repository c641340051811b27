package cicadaengine

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadawire"
)

func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"), false)
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"), true)
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"tool_calls\":[]}}]}\n\ndata: [DONE]\n"), true)
	f.Add([]byte("data: {\"error\":{\"message\":\"x\"}}\n"), false)
	f.Add([]byte("data: {"), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		_, err := readEvents(t.Context(), bytes.NewReader(data), chat, func(Chunk) error { return nil })
		if err == nil && !bytes.Contains(data, doneMarker) {
			t.Fatal("a response without the final marker was reported as complete")
		}
	})
}

// An event stream that ends before the final marker is reported as an error, not as a
// complete response.
func TestTruncatedResponseIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\n"))
	}))
	defer server.Close()
	engine, err := openInference(server.URL)
	assert.NilError(t, err)
	_, err = engine.Run(t.Context(), &cicadawire.Call{Path: "/v1/completions", Body: []byte("{}")}, func(Chunk) error { return nil })
	assert.Assert(t, errors.Is(err, ErrCrashed))
}

// http.Transport must not retry a call after a connection failure, including calls
// that it considers idempotent: GET, and those with an Idempotency-Key header.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if requests.Add(1)%2 == 0 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusOK)
		}))
		engine, err := openPlain(server.URL)
		assert.NilError(t, err)
		call := &cicadawire.Call{
			Method: method, Path: "/orders", Service: "ledger",
			Headers: []*cicadawire.Header{{Name: "Idempotency-Key", Value: "k"}},
		}
		_, err = engine.Run(t.Context(), call, func(Chunk) error { return nil })
		assert.NilError(t, err)
		_, err = engine.Run(t.Context(), call, func(Chunk) error { return nil })
		assert.Assert(t, errors.Is(err, ErrCrashed))
		assert.Equal(t, requests.Load(), int64(2), "%s request was sent again", method)
		server.Close()
	}
}
