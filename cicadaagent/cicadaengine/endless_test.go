package cicadaengine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadawire"
)

// TestHeaderWithoutEnd guards against an agent that keeps a header of many megabytes for each call.
func TestHeaderWithoutEnd(t *testing.T) {
	const guard = 64 << 20
	var sent atomic.Int64
	e := plainEngine{newEngineClient("http://engine")}
	e.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			text := "HTTP/1.1 200 OK\r\nX-Long: "
			for sent.Load() < guard {
				n, err := io.WriteString(server, text)
				sent.Add(int64(n))
				if err != nil {
					return
				}
				text = strings.Repeat("x", 1<<10)
			}
		}()
		return client, nil
	}
	call := &cicadawire.Call{Method: http.MethodGet, Path: "/orders", Service: "ledger"}
	_, err := e.run(t.Context(), call, func(Chunk) error { return nil })
	assert.Assert(t, errors.Is(err, ErrCrashed), "%v", err)
	assert.Assert(t, sent.Load() <= 2*maxBodyBytes, "%d bytes read", sent.Load())
}
