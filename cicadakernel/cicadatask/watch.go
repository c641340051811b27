package cicadatask

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	// watchChecks is the number of checks within the limit of a Watch.
	watchChecks = 5
	// maxStackBytes limits the stacks of goroutines in a failure.
	maxStackBytes = 64 << 10
)

// A Watch notices when a loop stops making progress.
type Watch struct {
	progress atomic.Uint64
	tasks    Group
}

// NewWatch starts to watch a loop until ctx is done. If the loop does not call Progress
// within the limit, that is a failure of the process. Only time in which this process runs
// counts: one that is suspended does not fail when it goes on.
func NewWatch(ctx context.Context, name string, limit time.Duration) *Watch {
	w := &Watch{}
	w.tasks.Go(func() {
		unchanged, seen := 0, uint64(0)
		for cicadaretry.Sleep(ctx, limit/watchChecks) {
			current := w.progress.Load()
			if current != seen {
				unchanged, seen = 0, current
				continue
			}
			if unchanged++; unchanged >= watchChecks {
				fail(&Failure{reason: ReasonStall, detail: fmt.Sprintf("%s made no progress for %s\n%s", name, limit, stacks())})
				return
			}
		}
	})
	return w
}

// Progress records that the loop makes progress.
func (w *Watch) Progress() { w.progress.Add(1) }

// stacks returns the stacks of all goroutines.
func stacks() []byte {
	buf := make([]byte, maxStackBytes)
	return buf[:runtime.Stack(buf, true)]
}
