package cicadaexchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEndToEndHeaders(t *testing.T) {
	h := EndToEnd(http.Header{
		"Connection": {"keep-alive, X-Hop", "x-other"}, "X-Hop": {"1"}, "X-Other": {"2"}, "Keep-Alive": {"timeout=5"},
		"transfer-encoding": {"chunked"}, "content-length": {"0"}, "Host": {"other"}, "x-model": {"m"}, "X-Model": {"n"},
	})
	assert.Equal(t, len(h), 1)
	assert.Equal(t, len(h["X-Model"]), 2)
}

// TestInvalidRequestIsNotSent guards against parts of a request that end it early, so that the endpoint takes
// the rest for another request.
func TestInvalidRequestIsNotSent(t *testing.T) {
	valid := Request{Method: http.MethodPost, Target: "/p/1?a=b", Host: "desk.example:80", Header: http.Header{"X-Model": {"m, n"}}}
	assert.NilError(t, valid.Validate())
	for name, spoil := range map[string]func(*Request){
		"method with a space":    func(r *Request) { r.Method = "POST /other" },
		"no method":              func(r *Request) { r.Method = "" },
		"target with a space":    func(r *Request) { r.Target = "/p HTTP/1.1" },
		"target with a line end": func(r *Request) { r.Target = "/p\r\nX-A: b" },
		"target with a host":     func(r *Request) { r.Target = "http://other/p" },
		"no target":              func(r *Request) { r.Target = "" },
		"host with a line end":   func(r *Request) { r.Host = "h\r\nX-A: b" },
		"name with a colon":      func(r *Request) { r.Header = http.Header{"X-A: b\r\nX-C": {"d"}} },
		"empty name":             func(r *Request) { r.Header = http.Header{"": {"d"}} },
		"value with a line end":  func(r *Request) { r.Header = http.Header{"X-A": {"b\r\n\r\nGET / HTTP/1.1"}} },
		"value with a line feed": func(r *Request) { r.Header = http.Header{"X-A": {"b\nX-C: d"}} },
		"value with a null":      func(r *Request) { r.Header = http.Header{"X-A": {"\x00"}} },
		"transfer encoding":      func(r *Request) { r.Header = http.Header{"Transfer-Encoding": {"chunked"}} },
		"content length":         func(r *Request) { r.Header = http.Header{"content-length": {"0"}} },
	} {
		t.Run(name, func(t *testing.T) {
			r := valid
			spoil(&r)
			c := NewClient(WithDial(func(context.Context, string) (net.Conn, error) {
				t.Error("a connection is opened")
				return nil, net.ErrClosed
			}))
			_, err := c.Do(t.Context(), "a", r)
			assert.Assert(t, errors.Is(err, ErrInvalidRequest), "%v", err)
			assert.Assert(t, errors.Is(err, ErrNotSent))
		})
	}
}

// FuzzRequestIsOneRequest checks that whatever is sent is read as one request, and as the one it was.
func FuzzRequestIsOneRequest(f *testing.F) {
	f.Add("POST", "/p/1", "h", "X-Model", "m", []byte("body"))
	f.Add("POST", "/p/1", "h", "Transfer-Encoding", "chunked", []byte("0\r\n\r\nPOST /q HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add("GET", "/p?q=%20", "h:80", "Connection", "close", []byte{})
	f.Add("GET / HTTP/1.1\r\n\r\nGET", "/p", "h\r\n", "A: b\r\n\r\n", "\r\n", []byte("x"))
	f.Add("PUT", "/\x80", "[::1]:80", "x-a", "\t\xff", []byte("x"))
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		req := Request{Method: method, Target: target, Host: host, Header: EndToEnd(http.Header{name: {value}}), Body: body}
		if req.Validate() != nil || host == "" {
			return
		}
		r := bufio.NewReader(bytes.NewReader(req.encode()))
		got, err := http.ReadRequest(r)
		if err != nil {
			return // the receiver refuses it as a whole
		}
		read, err := io.ReadAll(got.Body)
		assert.NilError(t, err)
		_, err = r.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "bytes are left after the request")
		assert.Equal(t, got.Method, method)
		assert.Equal(t, got.RequestURI, target)
		assert.Equal(t, got.Host, host)
		if method != http.MethodGet || len(body) > 0 {
			assert.Assert(t, bytes.Equal(read, body))
		}
		for gotName := range got.Header {
			_, known := req.Header[gotName]
			assert.Assert(t, known || gotName == "Content-Length", "header %q", gotName)
		}
	})
}
