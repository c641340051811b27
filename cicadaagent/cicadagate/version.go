package cicadagate

import (
	"context"
	"errors"

	"cicadalink.example/cicadaagent/cicadaengine"
)

// SetSoftwareVersion sets the version of the engine's software.
func (g *Gate) SetSoftwareVersion(version string) {
	g.mu.Lock()
	changed := g.softwareVersion != version
	g.softwareVersion = version
	g.mu.Unlock()
	if changed {
		g.notifyLoadChanged()
	}
}

// callEngine sends the next call of a task to the engine. A preempted task starts again if
// the engine was restarted with another version of its software since.
func (g *Gate) callEngine(ctx context.Context, frames *frameWriter, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
	result, err := g.engine.Run(ctx, frames.nextCall(g.engine.CanResume), emit)
	var other *cicadaengine.OtherVersionError
	if !errors.As(err, &other) {
		return result, err
	}
	if other.Software.Proved {
		g.SetSoftwareVersion(other.Software.Version)
	}
	if !frames.discardBuffered() {
		return result, err
	}
	return g.engine.Run(ctx, frames.nextCall(g.engine.CanResume), emit)
}
