package cicadaprocess

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

// Guards against requests that are lost on kept connections to endpoints, after those to the store
// have shown that connections of the process fell silent.
func TestSilenceOfTheStoreClosesConnectionsToEndpoints(t *testing.T) {
	var fallSilent func(since time.Time)
	cicadaplatform.Adapters.Register("silent", func(string) (cicadaplatform.Backend, error) {
		return cicadaplatform.Backend{OnSilent: func(f func(since time.Time)) { fallSilent = f }}, nil
	})
	var opened atomic.Int64
	endpoint := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	endpoint.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	endpoint.Start()
	defer endpoint.Close()
	address := strings.TrimPrefix(endpoint.URL, "http://")
	n, err := New(&Settings{Platform: "silent://store"}, cicadakernel.NewProcess("test", &cicadakernel.CommonSettings{}, io.Discard))
	assert.NilError(t, err)
	defer n.client.CloseIdle(address)
	for i, want := range []int64{1, 1, 2} {
		if i == 2 {
			fallSilent(time.Now())
		}
		res, err := n.client.Do(t.Context(), address, cicadaexchange.Request{Method: http.MethodGet, Target: "/", Host: address})
		assert.NilError(t, err)
		_, err = res.ReadAll(100)
		assert.NilError(t, err)
		res.Close()
		assert.Equal(t, opened.Load(), want)
	}
}
