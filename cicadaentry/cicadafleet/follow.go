package cicadafleet

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadawire"
)

// followAny follows one of the watchers until that breaks, or this entry is to
// watch by itself. It reports false when none could be followed.
func (f *Fleet) followAny(ctx context.Context) bool {
	for _, name := range f.watchers() {
		address, ok := f.table.EntryAddress(name)
		if !ok || name == f.self.Name {
			continue
		}
		began := time.Now()
		err := f.follow(ctx, address)
		f.log.Debug("following ended", "watcher", name, "error", err)
		if ctx.Err() != nil || time.Since(began) > followSilence {
			return true
		}
	}
	return false
}

func (f *Fleet) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var heard atomic.Bool
	watchdog := time.NewTicker(followSilence)
	defer watchdog.Stop()
	f.tasks.Go(func() {
		for {
			select {
			case <-watchdog.C:
				if !heard.Swap(false) {
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
		heard.Store(true)
		if err := f.take(update); err != nil {
			return err
		}
		if f.Watches() {
			return nil
		}
	}
}

// Feed streams the configuration and the VM list to a follower until send
// fails or ctx ends. A beat with the current revision goes out at least once in
// a followBeat.
func (f *Fleet) Feed(ctx context.Context, request *cicadawire.FollowRequest, send func(*cicadawire.FollowUpdate) error) error {
	if !f.started() {
		return merry.Errorf("feed follower: %w", ErrNotStarted)
	}
	held := request.GetRevision()
	var sentVMs []byte
	ticker := time.NewTicker(followBeat)
	defer ticker.Stop()
	for {
		changed := f.config.Changed()
		vms, vmsNew := f.vmList()
		update, err := f.config.Since(held)
		if err != nil {
			return merry.Errorf("feed follower: %w", err)
		}
		if !bytes.Equal(vms, sentVMs) {
			update.Vms = vms
			sentVMs = vms
		}
		if err := send(update); err != nil {
			return merry.Errorf("feed follower: %w", err)
		}
		held = max(held, update.GetRevision())
		select {
		case <-changed:
		case <-vmsNew:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
