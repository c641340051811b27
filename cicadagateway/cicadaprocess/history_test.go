package cicadaprocess

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
)

// A historyProcess is a process that knows versions of endpoints.
type historyProcess struct {
	versions *cicadaorigin.Versions
	history  *versionHistory
	stop     context.CancelFunc
}

func startHistory(t *testing.T, store *cicadaplatform.Memory, writer bool) *historyProcess {
	ctx, cancel := context.WithCancel(t.Context())
	p := &historyProcess{versions: cicadaorigin.NewVersions()}
	p.history = newVersionHistory(cicadaplatform.NewClient(store.Backend()), p.versions, hclog.NewNullLogger())
	p.history.isWriter = func() bool { return writer }
	p.stop = func() {
		cancel()
		p.history.wg.Wait()
	}
	p.history.start(ctx)
	return p
}

func (p *historyProcess) register(versions ...string) {
	var all []cicadaview.Endpoint
	for _, v := range versions {
		all = append(all, cicadaview.Endpoint{ID: v, Service: "s", SoftwareVersion: v})
	}
	if p.versions.SetEndpoints(all) {
		p.history.signal()
	}
}

// Guards against versions that are forgotten when all processes are lost at once, and a stream
// that is then taken for one of the only version that is left.
func TestVersionsOutliveAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := cicadaplatform.NewMemory()
		writer, other := startHistory(t, store, true), startHistory(t, store, false)
		for _, p := range []*historyProcess{writer, other} {
			p.register("v1")
		}
		time.Sleep(time.Minute)
		version, ok := other.versions.Single("s")
		assert.Assert(t, ok && version == "v1")
		for _, p := range []*historyProcess{writer, other} {
			p.register("v1", "v2")
		}
		time.Sleep(time.Second)
		writer.stop()
		other.stop()
		restarted := startHistory(t, store, true)
		defer restarted.stop()
		restarted.register("v2")
		time.Sleep(10 * time.Second)
		_, ok = restarted.versions.Single("s")
		assert.Assert(t, !ok, "streams of v1 may be resumed")
		time.Sleep(time.Minute)
		version, ok = restarted.versions.Single("s")
		assert.Assert(t, ok && version == "v2")
		next := startHistory(t, store, true)
		defer next.stop()
		next.register("v2")
		time.Sleep(2 * time.Second)
		_, ok = next.versions.Single("s")
		assert.Assert(t, ok, "v1 has left the history")
	})
}

// Guards against a process that guesses while it has not read the versions, and against one that
// writes where nothing has changed.
func TestVersionsAreReadBeforeAProcessGuesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := cicadaplatform.NewMemory()
		first := startHistory(t, store, true)
		defer first.stop()
		first.register("v1")
		time.Sleep(time.Minute)
		store.SetFault(func(context.Context, string, string) (before, after error) { return cicadaplatform.ErrUnavailable, nil })
		late := startHistory(t, store, false)
		defer late.stop()
		late.register("v1")
		time.Sleep(10 * time.Second)
		_, ok := late.versions.Single("s")
		assert.Assert(t, !ok)
		store.SetFault(nil)
		time.Sleep(2 * time.Second)
		_, ok = late.versions.Single("s")
		assert.Assert(t, ok)
		obj, err := cicadaplatform.NewClient(store.Backend()).Get(t.Context(), historyName)
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		again, err := cicadaplatform.NewClient(store.Backend()).Get(t.Context(), historyName)
		assert.NilError(t, err)
		assert.Equal(t, again.Version(), obj.Version(), "written once")
	})
}
