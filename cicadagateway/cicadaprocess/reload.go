package cicadaprocess

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadasettings"
)

const (
	// settingsInterval is how often the settings file is looked at: it may change
	// without a signal.
	settingsInterval = 2 * time.Second
	// memoryShare is the part of the memory setting that the runtime may use
	// before it collects harder; the rest is for buffers outside the heap.
	memoryShare = 0.7
)

// limitMemory keeps the runtime below the memory setting.
func limitMemory(s *Settings) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	}
}

// watchSettings reads the settings again on SIGHUP and when the file changes.
// The drain limit and the memory apply at once; other settings name what the
// process is, and apply at its next start.
func (n *Node) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(n.file)
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			reason = "signal"
		case <-ticker.C:
		}
		data, err := os.ReadFile(n.file)
		if err != nil || (reason != "signal" && bytes.Equal(data, last)) {
			continue
		}
		last = data
		err = n.reload(data)
		n.log.Info("reload", "reason", reason, "error", err)
	}
}

func (n *Node) reload(data []byte) error {
	next := &Settings{}
	if err := cicadasettings.Parse(n.file, data, next); err != nil {
		return merry.Errorf("settings kept as they were: %w", err)
	}
	n.drainLimit.Store(int64(next.DrainLimit.Or(defaultDrainLimit)))
	limitMemory(next)
	return nil
}
