package cicadafleet

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadawire"
)

// followAny follows one of the watchers until the stream ends or this entry becomes
// a watcher. It reports false if no watcher could be followed for longer than
// followTimeout.
func (f *Fleet) followAny(ctx context.Context) bool {
	for _, name := range f.watcherNames() {
		address, ok := f.table.EntryAddress(name)
		if !ok || name == f.self.Name {
			continue
		}
		startedAt := time.Now()
		err := f.follow(ctx, address)
		f.log.Debug("stopped following watcher", "watcher", name, "error", err)
		if ctx.Err() != nil || time.Since(startedAt) > followTimeout {
			return true
		}
	}
	return false
}

// follow applies the updates of the watcher at address until the stream ends,
// nothing arrives for followTimeout, or this entry becomes a watcher.
func (f *Fleet) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var received atomic.Bool
	watchdog := time.NewTicker(followTimeout)
	defer watchdog.Stop()
	f.tasks.Go(func() {
		for {
			select {
			case <-watchdog.C:
				if !received.Swap(false) {
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	})
	request := &cicadawire.FollowRequest{Revision: f.config.Snapshot().Revision(), Follower: f.self.Name}
	stream, err := cicadawire.NewDRPCEntryClient(f.pool.Conn(address)).Follow(ctx, request)
	if err != nil {
		return merry.Errorf("follow watcher: %w", err)
	}
	defer stream.Close()
	for {
		update, err := stream.Recv()
		if err != nil {
			return merry.Errorf("follow watcher: %w", err)
		}
		received.Store(true)
		if err := f.applyUpdate(update); err != nil {
			return err
		}
		if f.IsWatcher() {
			return nil
		}
	}
}

// ServeFollower streams the configuration and the VM list to a follower until send
// fails or ctx ends. An update with the current revision is sent at least once per
// followHeartbeatInterval.
func (f *Fleet) ServeFollower(ctx context.Context, request *cicadawire.FollowRequest, send func(*cicadawire.FollowUpdate) error) error {
	if !f.started() {
		return merry.Errorf("serve follower: %w", ErrNotStarted)
	}
	followerRevision := request.GetRevision()
	var sentVMs []byte
	ticker := time.NewTicker(followHeartbeatInterval)
	defer ticker.Stop()
	for {
		changed := f.config.Changed()
		vms, vmsChanged := f.vmList()
		update, err := f.config.UpdateSince(followerRevision)
		if err != nil {
			return merry.Errorf("serve follower: %w", err)
		}
		if !bytes.Equal(vms, sentVMs) {
			update.Vms = vms
			sentVMs = vms
		}
		if err := send(update); err != nil {
			return merry.Errorf("serve follower: %w", err)
		}
		followerRevision = max(followerRevision, update.GetRevision())
		select {
		case <-changed:
		case <-vmsChanged:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
