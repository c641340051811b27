package cicadashard

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// silentEntry is an entry to which the first calls go unanswered.
type silentEntry struct {
	cicadawire.DRPCEntryClient
	silent int
	calls  int
}

// Job implements DRPCEntryClient.
func (e *silentEntry) Job(ctx context.Context, _ *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	e.calls++
	if e.calls <= e.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &cicadawire.JobReply{}, nil
}

// Guards against a call to the owner of a shard that waits without end on a connection that has
// fallen silent, or whose first attempt takes the time of all others.
func TestSilentAttemptsLeaveTimeForOthers(t *testing.T) {
	for _, silent := range []int{1, 1000} {
		synctest.Test(t, func(t *testing.T) {
			e := &silentEntry{silent: silent}
			deps := Deps{
				Store: cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend()), Nonce: rand.Uint64,
				Dial: func(string) cicadawire.DRPCEntryClient { return e },
			}
			owner := &Manager{cfg: Config{Address: "owner"}, deps: deps, ownerID: "owner"}
			m := &Manager{cfg: Config{Address: "entry", Shards: 1}, deps: deps, ownerID: "entry", ownerAddresses: make(map[int]string)}
			held, err := owner.newLease(0).TryAcquire(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, held)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			start := time.Now()
			_, err = m.Job(ctx, &cicadawire.JobRequest{Customer: "shop", Verb: VerbList})
			assert.Equal(t, err == nil, silent == 1, "%v", err)
			assert.Assert(t, time.Since(start) <= ownerCallTimeout, "%v", time.Since(start))
		})
	}
}
