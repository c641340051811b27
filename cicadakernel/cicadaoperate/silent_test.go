package cicadaoperate

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an operator's command that never returns, because its connection to the entry has
// fallen silent.
func TestCallOnDeadConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("http://entry", "key", WithTLS(&tls.Config{MinVersion: tls.VersionTLS12}))
		c.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, server) }()
			return client, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		_, err := c.Status(ctx)
		assert.Assert(t, err != nil)
		assert.NilError(t, ctx.Err())
	})
}
