package cicadafleet

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Guards against an endpoint that an entry never uses, because the connection of its first link
// fell silent before the agent's first message, and the link was waited for without end.
func TestLinkThatIsSilentFromTheStartEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend())
		var ends []net.Conn
		pool := cicadawire.NewPool(cicadawire.WithDial(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			ends = append(ends, far)
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}))
		f := New(cicadamember.Member{Name: "entry-1", DataCentre: "dc"}, client, cicadaconfig.NewStore(client, rand.Uint64), pool)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		err := f.link(ctx, NewEndpoint(cicadaplatform.VM{Name: "agent-1", Address: "agent"}, true))
		assert.Check(t, err != nil)
		assert.Check(t, time.Since(start) < 2*linkTimeout, "%v", time.Since(start))
		for _, end := range ends {
			_ = end.Close()
		}
		assert.Check(t, pool.Close())
	})
}
