package cicadaprocess

import (
	"context"
	"strings"
	"sync"
	"time"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	adapter "cicadalink.example/platform"
)

const (
	retirementInterval = 200 * time.Millisecond
	// idleBeforeEmpty is how long an owner must have been idle before its VM is
	// reported empty. By then, peers have taken over the jobs that were handed to them.
	idleBeforeEmpty = 600 * time.Millisecond
)

// retirementHandler handles the operators' requests to empty VMs. The owner on a VM
// moves its jobs to other owners and then reports the VM empty. A VM without an owner
// is reported empty immediately, by the process that is the coordinator.
type retirementHandler struct {
	node            *Node
	ownerIdle       func() bool
	mu              sync.Mutex
	pending         map[string]cicadaplatform.Object // retirements still to be completed, by VM
	reportedRunning map[string]bool                  // VMs reported as being emptied
	reportedEmpty   map[string]bool                  // VMs reported empty
	idleSince       time.Time                        // when the owner became idle; zero while it has work
	wg              cicadatask.Group
}

func newRetirementHandler(ctx context.Context, n *Node, ownerIdle func() bool) *retirementHandler {
	r := &retirementHandler{node: n, ownerIdle: ownerIdle, pending: make(map[string]cicadaplatform.Object), reportedRunning: make(map[string]bool), reportedEmpty: make(map[string]bool)}
	r.wg.Go(func() {
		for cicadaretry.Sleep(ctx, retirementInterval) {
			r.processPending(ctx)
		}
	})
	return r
}

func (r *retirementHandler) apply(c cicadafollow.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Full() {
		clear(r.pending)
	}
	for _, obj := range c.Objects() {
		vm := strings.TrimPrefix(obj.Name(), adapter.RetirementsPrefix)
		if obj.Value() == nil {
			delete(r.pending, vm)
			delete(r.reportedEmpty, vm)
			continue
		}
		if !r.reportedEmpty[vm] {
			r.pending[vm] = obj
		}
	}
	_, isPending := r.pending[r.node.cfg.VM]
	retiring := isPending || r.reportedEmpty[r.node.cfg.VM]
	if retiring != r.node.retiring.Load() {
		r.node.log.Info("retirement changed", "vm", r.node.cfg.VM, "retiring", retiring)
		r.node.retiring.Store(retiring)
		r.node.notifyPeers()
	}
}

func (r *retirementHandler) processPending(ctx context.Context) {
	r.mu.Lock()
	pending := make(map[string]cicadaplatform.Object, len(r.pending))
	for vm, obj := range r.pending {
		pending[vm] = obj
	}
	r.mu.Unlock()
	for vm, obj := range pending {
		switch {
		case vm == r.node.cfg.VM:
			r.retireOwnVM(ctx, vm, obj)
		case r.node.group.IsCoordinator(r.node.storeUp.Load()) && !r.ownerLive(vm):
			r.report(ctx, vm, obj, true)
		}
	}
}

func (r *retirementHandler) ownerLive(vm string) bool {
	for _, s := range r.node.group.Live(cicadapeer.RoleOwner) {
		if s.Member.Name == vm {
			return true
		}
	}
	return false
}

func (r *retirementHandler) retireOwnVM(ctx context.Context, vm string, obj cicadaplatform.Object) {
	if !r.ownerIdle() {
		r.idleSince = time.Time{}
		r.report(ctx, vm, obj, false)
		return
	}
	if r.idleSince.IsZero() {
		r.idleSince = time.Now()
	}
	if time.Since(r.idleSince) >= idleBeforeEmpty {
		r.report(ctx, vm, obj, true)
	}
}

// report writes the progress of a VM's retirement to the store.
func (r *retirementHandler) report(ctx context.Context, vm string, obj cicadaplatform.Object, empty bool) {
	if !empty && r.reportedRunning[vm] {
		return
	}
	_, err := r.node.store.Update(ctx, cicadaplatform.ClassLease, adapter.RetirementStatus(vm), obj.Version(), adapter.EncodeRetirement(empty))
	r.node.log.Info("retirement status update", "vm", vm, "empty", empty, "version", obj.Version(), "error", err)
	if err != nil {
		return // the object has changed or the store is unavailable: the next round retries
	}
	r.reportedRunning[vm] = true
	if empty {
		r.mu.Lock()
		delete(r.pending, vm)
		r.reportedEmpty[vm] = true
		r.mu.Unlock()
	}
}
