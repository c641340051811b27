package cicadaplatform

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a watch that waits for ever on a connection that has fallen silent: the process
// would never learn of a change again.
func TestWatchOnDeadConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHTTPBackend("http://store", func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, server) }()
			return client, nil
		}).backend()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		_, err := b.Watch(ctx, "x/", 1)
		assert.ErrorIs(t, err, ErrInDoubt)
		assert.Assert(t, time.Since(start) < 2*watchTimeout, "%v", time.Since(start))
	})
}
