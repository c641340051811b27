package cicadapeer

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Messages to one member arrive as they were sent, between the states, and anything but a map
// is not sent.
func TestMessagesToOneMember(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	received := make(chan string, 1)
	start := func(name string, opts ...Option) *Group {
		g, err := New(ctx, Member{Name: name, Role: RoleEntry, Address: "127.0.0.1:0"}, hclog.NewNullLogger(),
			func() State { return State{} }, func(State) {}, func() {}, opts...)
		assert.NilError(t, err)
		return g
	}
	a := start("a")
	b := start("b", WithOnMessage(func(m []byte) {
		var decoded map[string]string
		if cbor.Unmarshal(m, &decoded) == nil {
			received <- decoded["text"]
		}
	}))
	defer b.Wait()
	defer a.Wait()
	defer cancel()
	a.SetMembers([]Member{{Name: "b", Role: RoleEntry, Address: b.conn.LocalAddr().String()}})
	message, err := cbor.Marshal(map[string]string{"text": "hello"})
	assert.NilError(t, err)
	array, err := cbor.Marshal([]string{"no", "message"})
	assert.NilError(t, err)
	a.SendTo("b", array)
	a.SendTo("unknown", message)
	a.SendTo("b", message)
	assert.Equal(t, <-received, "hello")
	live, known := b.Names()
	assert.Assert(t, len(live) <= known)
	assert.Equal(t, b.PeerReachesStore(), false)
}
