package cicadaprocess

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	adapter "cicadalink.example/platform"
)

const (
	historyName = adapter.OwnKindPrefix + "versions/history"
	// historyRetryDelay is the time between attempts to read or write the history.
	historyRetryDelay = 500 * time.Millisecond
	// historyInterval is the interval at which versions that have left are looked for.
	historyInterval = 5 * time.Second
)

// versionHistory keeps the software versions of endpoints that may have streams in progress in the
// store, where they outlive all processes. One process writes them, when they have changed.
type versionHistory struct {
	store    *cicadaplatform.Client
	versions *cicadaorigin.Versions
	log      hclog.Logger
	isWriter func() bool
	onRead   func()        // called once the history has been read
	changed  chan struct{} // signals that a version was registered
	wg       cicadatask.Group

	stored  []byte // value of the object
	version int64  // of the object, or 0 if there is none
}

func newVersionHistory(store *cicadaplatform.Client, versions *cicadaorigin.Versions, log hclog.Logger) *versionHistory {
	versions.AwaitHistory()
	return &versionHistory{
		store: store, versions: versions, log: log, isWriter: func() bool { return true }, onRead: func() {}, changed: make(chan struct{}, 1),
	}
}

// start reads the history, and keeps it up to date until ctx is done.
func (h *versionHistory) start(ctx context.Context) {
	h.wg.Go(func() {
		for !h.read(ctx) {
			if !cicadaretry.Sleep(ctx, historyRetryDelay) {
				return
			}
		}
		h.onRead()
		ticker := time.NewTicker(historyInterval)
		defer ticker.Stop()
		for {
			for h.isWriter() && !h.write(ctx) {
				if !cicadaretry.Sleep(ctx, historyRetryDelay) {
					return
				}
			}
			select {
			case <-h.changed:
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
}

// signal makes the writer look for versions that were added.
func (h *versionHistory) signal() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// read adds the versions of the history to those that this process knows. It reports whether it
// succeeded.
func (h *versionHistory) read(ctx context.Context) bool {
	obj, err := h.store.Get(ctx, historyName)
	if err != nil && !errors.Is(err, cicadaplatform.ErrNotFound) {
		h.log.Debug("failed to read versions of endpoints, retrying", "error", err)
		return false
	}
	var history cicadaorigin.History
	if err == nil {
		h.stored, h.version = obj.Value(), obj.Version()
		if err := json.Unmarshal(obj.Value(), &history); err != nil {
			h.log.Warn("unreadable versions of endpoints ignored", "version", obj.Version(), "error", err)
		}
	}
	h.versions.SetHistory(history)
	h.log.Info("versions of endpoints read", "version", h.version, "history", string(h.stored))
	return true
}

// write stores the versions if they have changed. It reports whether they are stored.
func (h *versionHistory) write(ctx context.Context) bool {
	history := h.versions.History()
	if len(history) == 0 {
		return true // no endpoint is known yet
	}
	value, err := json.Marshal(history)
	if err != nil {
		h.log.Error("failed to encode versions of endpoints", "error", err)
		return true
	}
	if string(value) == string(h.stored) {
		return true
	}
	obj, err := h.put(ctx, value)
	switch {
	case err == nil:
		h.stored, h.version = value, obj.Version()
		h.log.Info("versions of endpoints stored", "version", h.version, "history", string(value))
		return true
	case errors.Is(err, cicadaplatform.ErrExists) || errors.Is(err, cicadaplatform.ErrConflict) || errors.Is(err, cicadaplatform.ErrNotFound):
		h.read(ctx) // another process was the writer
	}
	h.log.Debug("failed to store versions of endpoints, retrying", "error", err)
	return false
}

func (h *versionHistory) put(ctx context.Context, value []byte) (cicadaplatform.Object, error) {
	if h.version == 0 {
		obj, err := h.store.Create(ctx, cicadaplatform.ClassLease, historyName, value)
		return obj, merry.Prepend(err, "create")
	}
	obj, err := h.store.Update(ctx, cicadaplatform.ClassLease, historyName, h.version, value)
	return obj, merry.Prepend(err, "update")
}
