package cicadaprocess

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	adapter "cicadalink.example/platform"
)

const (
	retireInterval = 200 * time.Millisecond
	// emptyTime is how long an owner must have had no work before its VM counts
	// as empty: peers have then taken over what it handed to them.
	emptyTime = 600 * time.Millisecond
)

// retirements answers the operators' requests to empty VMs. The owner on a VM
// moves its jobs to the others and then reports the VM empty. For a VM without
// an owner, the first live process reports that at once.
type retirements struct {
	node    *Node
	idle    func() bool
	mu      sync.Mutex
	open    map[string]cicadaplatform.Object // by VM
	running map[string]bool                  // reported as being emptied
	emptied map[string]bool                  // reported as empty
	empty   time.Time                        // since when the owner has had no work
	wg      conc.WaitGroup
}

func newRetirements(ctx context.Context, n *Node, idle func() bool) *retirements {
	r := &retirements{node: n, idle: idle, open: make(map[string]cicadaplatform.Object), running: make(map[string]bool), emptied: make(map[string]bool)}
	r.wg.Go(func() {
		for cicadaretry.Wait(ctx, retireInterval) {
			r.step(ctx)
		}
	})
	return r
}

func (r *retirements) apply(c cicadafollow.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Full() {
		clear(r.open)
	}
	for _, obj := range c.Objects() {
		vm := strings.TrimPrefix(obj.Name(), adapter.RetirementsPrefix)
		if obj.Value() == nil {
			delete(r.open, vm)
			delete(r.emptied, vm)
			continue
		}
		if !r.emptied[vm] {
			r.open[vm] = obj
		}
	}
	_, open := r.open[r.node.cfg.VM]
	mine := open || r.emptied[r.node.cfg.VM]
	if mine != r.node.retiring.Load() {
		r.node.log.Info("retirement", "vm", r.node.cfg.VM, "retiring", mine)
		r.node.retiring.Store(mine)
		r.node.notify()
	}
}

func (r *retirements) step(ctx context.Context) {
	r.mu.Lock()
	open := make(map[string]cicadaplatform.Object, len(r.open))
	for vm, obj := range r.open {
		open[vm] = obj
	}
	r.mu.Unlock()
	for vm, obj := range open {
		switch {
		case vm == r.node.cfg.VM:
			r.emptyOwn(ctx, vm, obj)
		case r.node.group.First(r.node.storeUp.Load()) && !r.lives(vm):
			r.report(ctx, vm, obj, true)
		}
	}
}

func (r *retirements) lives(vm string) bool {
	for _, s := range r.node.group.Live(cicadapeer.RoleOwner) {
		if s.Member.Name == vm {
			return true
		}
	}
	return false
}

func (r *retirements) emptyOwn(ctx context.Context, vm string, obj cicadaplatform.Object) {
	if !r.idle() {
		r.empty = time.Time{}
		r.report(ctx, vm, obj, false)
		return
	}
	if r.empty.IsZero() {
		r.empty = time.Now()
	}
	if time.Since(r.empty) >= emptyTime {
		r.report(ctx, vm, obj, true)
	}
}

// report writes how far the retirement is.
func (r *retirements) report(ctx context.Context, vm string, obj cicadaplatform.Object, empty bool) {
	if !empty && r.running[vm] {
		return
	}
	_, err := r.node.store.Update(ctx, cicadaplatform.ClassLease, adapter.RetirementStatus(vm), obj.Version(), adapter.EncodeRetirement(empty))
	r.node.log.Info("retirement reported", "vm", vm, "empty", empty, "version", obj.Version(), "error", err)
	if err != nil {
		return // the entry has changed or the store is away: the next step tries anew
	}
	r.running[vm] = true
	if empty {
		r.mu.Lock()
		delete(r.open, vm)
		r.emptied[vm] = true
		r.mu.Unlock()
	}
}
