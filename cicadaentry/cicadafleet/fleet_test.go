package cicadafleet

import (
	"context"
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

func testFleet(t *testing.T, memory *cicadaplatform.Memory, dialled *[]string) *Fleet {
	t.Helper()
	client := cicadaplatform.NewClient(memory.Backend())
	pool := cicadawire.NewPool(cicadawire.WithDial(func(_ context.Context, address string) (net.Conn, error) {
		*dialled = append(*dialled, address)
		return nil, net.ErrClosed
	}))
	return New(cicadamember.Member{Name: "entry-1", DataCentre: "dc"}, client, cicadaconfig.NewStore(client, rand.Uint64), pool)
}

// An entry must never follow itself, or it stays at its revision for good. This can
// happen if the VM list arrives between its calls of IsWatcher and followAny, so that
// the entry is among the watchers.
func TestEntryNeverFollowsItself(t *testing.T) {
	memory := cicadaplatform.NewMemory()
	var dialled []string
	f := testFleet(t, memory, &dialled)
	f.table.Update([]cicadaplatform.VM{
		{Name: "entry-1", Role: RoleEntry, DataCentre: "dc", Address: "own", State: cicadaplatform.VMLive},
		{Name: "entry-2", Role: RoleEntry, DataCentre: "dc", Address: "other", State: cicadaplatform.VMLive},
	}, func(string) int { return 0 })
	assert.Assert(t, !f.followAny(t.Context()))
	assert.DeepEqual(t, dialled, []string{"other"})
}

// A watcher must find changes by polling if its watches never return.
func TestWatcherPollsWhenWatchesStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := cicadaplatform.NewMemory()
		memory.SetVM(cicadaplatform.VM{Name: "entry-1", Role: RoleEntry, DataCentre: "dc", State: cicadaplatform.VMLive})
		memory.SetFault(func(ctx context.Context, call, _ string) (error, error) {
			if call == "watch" {
				<-ctx.Done()
			}
			return nil, nil
		})
		var dialled []string
		f := testFleet(t, memory, &dialled)
		assert.NilError(t, f.Start(t.Context()))
		defer f.Close()
		time.Sleep(time.Second)
		resources, err := cicadaconfig.ParseResources("test.yaml", []byte("kind: template\nname: desk\nparameters: {}\n"))
		assert.NilError(t, err)
		_, err = f.ConfigStore().Apply(t.Context(), cicadaconfig.Request{Resources: resources})
		assert.NilError(t, err)
		time.Sleep(pollInterval + time.Second)
		assert.Equal(t, f.Config().Snapshot().Revision(), int64(1))
	})
}
