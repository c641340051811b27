package cicadaprocess

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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
		return cicadaplatform.Backend{OnDead: func(f func(since time.Time)) { fallSilent = f }}, nil
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

// oneConnListener is a listener that accepts one connection.
type oneConnListener struct {
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l oneConnListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l oneConnListener) Close() error { return nil }

// Addr implements net.Listener.
func (l oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against descriptors that connections of the balancer hold for ever after they fell silent.
func TestSilentConnectionsOfTheBalancerAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{}
		client, server := net.Pipe()
		l := oneConnListener{make(chan net.Conn, 1)}
		l.conns <- server
		srv := n.newReadyServer()
		var wg sync.WaitGroup
		wg.Go(func() { _ = srv.Serve(l) })
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(client), nil)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.NilError(t, client.SetReadDeadline(time.Now().Add(2*callerIdleTimeout)))
		_, err = client.Read(make([]byte, 1))
		assert.Check(t, errors.Is(err, io.EOF), "%v", err)
		_ = client.Close()
		close(l.conns)
		wg.Wait()
	})
}
