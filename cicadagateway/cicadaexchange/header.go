package cicadaexchange

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidRequest reports a request with a part that HTTP does not allow there, and that might end
// the part or the request early. Nothing of it is sent.
var ErrInvalidRequest = merry.Sentinel("cicadaexchange: invalid request")

// connectionHeaders concern one connection, or say where a message ends. Each sender sets its own.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// EndToEnd returns the fields of a header that are forwarded: those that neither concern one connection
// nor frame a message, and that the Connection field does not name. The values are not copied.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if name = textproto.CanonicalMIMEHeaderKey(name); !connectionHeaders[name] {
			out[name] = slices.Concat(out[name], values)
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

// Validate reports with ErrInvalidRequest whether a part of the request might change where the request
// ends at its receiver, or be taken for another part.
func (r Request) Validate() error {
	switch {
	case !httpguts.ValidHeaderFieldName(r.Method): // both are tokens
		return merry.Errorf("method %q: %w", r.Method, ErrInvalidRequest)
	case !validTarget(r.Target):
		return merry.Errorf("target %q: %w", r.Target, ErrInvalidRequest)
	case !httpguts.ValidHostHeader(r.Host):
		return merry.Errorf("host %q: %w", r.Host, ErrInvalidRequest)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) || connectionHeaders[textproto.CanonicalMIMEHeaderKey(name)] {
			return merry.Errorf("header %q: %w", name, ErrInvalidRequest)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return merry.Errorf("value of header %q: %w", name, ErrInvalidRequest)
			}
		}
	}
	return nil
}

// validTarget reports whether a request target is a path, with a query perhaps, that has no spaces and no
// control characters.
func validTarget(target string) bool {
	if !strings.HasPrefix(target, "/") {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return true
}
