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
	// settingsPollInterval is the interval at which the settings file is checked for
	// changes, as it may change without a signal.
	settingsPollInterval = 2 * time.Second
	// memoryLimitFraction is the runtime's memory limit as a fraction of the memory
	// setting. The rest is for memory that the runtime does not manage.
	memoryLimitFraction = 0.7
)

// setMemoryLimit sets the runtime's memory limit from the memory setting.
func setMemoryLimit(s *Settings) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory)))
	}
}

// watchSettings reloads the settings on SIGHUP and when the file changes. The drain
// limit and the memory limit are applied immediately. All other settings take effect at
// the next start.
func (n *Node) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(n.settingsFile)
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			reason = "signal"
		case <-ticker.C:
		}
		data, err := os.ReadFile(n.settingsFile)
		if err != nil || (reason != "signal" && bytes.Equal(data, last)) {
			continue
		}
		last = data
		err = n.reload(data)
		n.log.Info("settings reload", "reason", reason, "error", err)
	}
}

func (n *Node) reload(data []byte) error {
	next := &Settings{}
	if err := cicadasettings.Parse(n.settingsFile, data, next); err != nil {
		return merry.Errorf("invalid settings not applied: %w", err)
	}
	n.drainLimit.Store(int64(next.DrainLimit.Or(defaultDrainLimit)))
	setMemoryLimit(next)
	return nil
}
