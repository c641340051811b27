package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	upgradeInterval = time.Second
	// upgradeDowntime is the time from the crash of an endpoint until it listens again.
	upgradeDowntime   = 100 * time.Millisecond
	upgradePause      = upgradeInterval - upgradeDowntime
	heartbeatInterval = 1200 * time.Millisecond
)

// playUpgrades upgrades one endpoint after the other in place while callers of all kinds are
// busy. No process of the gateway is disturbed, so that no stream may hold events of two versions.
func (s *soak) playUpgrades(ctx context.Context) {
	s.checks.maxMixed = 0
	stop := s.startCallers(ctx, streamCallers)
	s.mu.Lock()
	endpoints := slices.Clone(s.endpoints)
	s.mu.Unlock()
	for _, e := range endpoints {
		s.sendHeartbeats(e.incarnation(), 0)
	}
	for i, end := 0, time.Now().Add(s.duration); time.Now().Before(end) && cicadaretry.Sleep(ctx, upgradePause); i++ {
		s.upgrade(ctx, endpoints[i%len(endpoints)], fmt.Sprint("v", i/len(endpoints)+2))
	}
	s.endCallers(ctx, stop)
}

// upgrade upgrades an endpoint in place, and lets it report after a delay and then again and again.
func (s *soak) upgrade(ctx context.Context, e *endpoint, version string) {
	if i := s.startUpgraded(ctx, e, version); i != nil {
		s.sendHeartbeats(i, s.reportDelay)
	}
}

// startUpgraded crashes an endpoint and starts it again under its id and address with another
// version. It returns nil if the endpoint does not start.
func (s *soak) startUpgraded(ctx context.Context, e *endpoint, version string) *incarnation {
	s.checks.disturb(upgradeDowntime)
	e.crash()
	cicadaretry.Sleep(ctx, upgradeDowntime)
	if err := e.start(version); err != nil {
		s.checks.count("upgrades failed")
		s.log.Error("failed to start endpoint again", "endpoint", e.id, "error", err)
		return nil
	}
	i := e.incarnation()
	s.checks.count("endpoints upgraded")
	s.log.Info("endpoint upgraded", "endpoint", e.id, "version", version, "born", i.started.UnixMilli())
	return i
}

// upgradeInPlace upgrades an endpoint in place to the version that is released next, or back to the
// last one, and lets it report once, after a delay, unless it has crashed or left by then.
func (s *soak) upgradeInPlace(ctx context.Context, delay time.Duration) {
	e := s.anyEndpoint()
	if !e.take() {
		return
	}
	version := fmt.Sprint("v", s.releases+1)
	if e.incarnation().version == version {
		version = fmt.Sprint("v", s.releases)
	}
	s.faults.Go(func() {
		i := s.startUpgraded(ctx, e, version)
		e.giveBack()
		if i != nil && cicadaretry.Sleep(i.running, delay) && s.registerServing(e, i) {
			s.log.Info("endpoint reported", "endpoint", e.id, "version", version, "born", i.started.UnixMilli())
		}
	})
}

// sendHeartbeats lets an incarnation report to the store from a delay on, until it crashes.
func (s *soak) sendHeartbeats(i *incarnation, delay time.Duration) {
	s.heartbeats.Go(func() {
		for wait := delay; cicadaretry.Sleep(i.running, wait); wait = heartbeatInterval {
			s.register(i, "ready")
			if i.heartbeats.Load() == 1 {
				s.log.Info("endpoint reported", "endpoint", i.id, "version", i.version, "born", i.started.UnixMilli())
			}
		}
	})
}
