package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

// proxied are the scenarios in which endpoints are reached through proxies.
var proxied = map[string]bool{"disorder": true, "repeated-events": true, "late-reads": true}

// otherService is the service, and the version, of endpoints that take over an address.
const otherService = "other"

const (
	keepingCallers = 20
	// keptFor is shorter than entries keep idle connections.
	keptFor = 800 * time.Millisecond
	// addressReuse is the least time after which an address may pass to another endpoint.
	addressReuse = 2 * time.Second
)

// disorders are faults of connections, of the store and of processes that the protocol allows,
// beside those of the random scenario.
var disorders = append([]fault{
	{"connections to an endpoint delayed", disturbEndpoint(delayed)},
	{"endpoint silent", disturbEndpoint(silent)},
	{"answers of an endpoint held", disturbEndpoint(answersHeld)},
	{"endpoint breaks off within events", disturbEndpoint(cutInEvent)},
	{"endpoint answers twice", disturbEndpoint(answerDoubled)},
	{"endpoint answers without a length", func(ctx context.Context, s *soak, length time.Duration) {
		i := s.anyEndpoint().incarnation()
		i.unframed.Store(true)
		s.faults.Go(func() {
			cicadaretry.Sleep(ctx, length)
			i.unframed.Store(false)
		})
	}},
	{"connections to an endpoint reset", func(_ context.Context, s *soak, _ time.Duration) { s.anyEndpoint().proxy.each((*link).reset) }},
	{"connections to an endpoint stuck", func(_ context.Context, s *soak, _ time.Duration) { s.anyEndpoint().proxy.each((*link).stick) }},
	{"address passes on", func(ctx context.Context, s *soak, length time.Duration) { s.passAddress(ctx, length) }},
	{"endpoint upgraded in place", func(ctx context.Context, s *soak, length time.Duration) { s.upgradeInPlace(ctx, length) }},
	{"store silent", disturbStore(func(f *storeFaults, on bool) { f.silent.Store(on) })},
	{"store answers lost", disturbStore(func(f *storeFaults, on bool) { f.unheard.Store(on) })},
	{"store limits calls", disturbStore(func(f *storeFaults, on bool) { f.limiting.Store(on) })},
	{"watches late", disturbStore(func(f *storeFaults, on bool) { f.lag.Store(durationIf(on, 3*time.Second)) })},
	{"store answers late", disturbStore(func(f *storeFaults, on bool) { f.slowness.Store(durationIf(on, 800*time.Millisecond)) })},
	{"settings changed", func(_ context.Context, s *soak, _ time.Duration) { s.changeSettings() }},
	{"all processes killed", func(_ context.Context, s *soak, _ time.Duration) {
		for _, p := range s.processes() {
			p.signal(syscall.SIGKILL)
		}
	}},
	{"processes stopped in series", func(ctx context.Context, s *soak, length time.Duration) { s.stopInSeries(ctx, length) }},
}, append(linkFaults, faults...)...)

// repeats are faults within streams that the protocol does not allow endpoints.
var repeats = []fault{
	{"events doubled", disturbEndpoint(eventDoubled)},
	{"older events again", disturbEndpoint(eventAgain)},
}

// lateReads are the faults that make processes know releases at different times.
var lateReads = slices.DeleteFunc(slices.Clone(disorders), func(f fault) bool {
	return !slices.Contains([]string{
		"watches late", "store silent", "store answers late", "store refuses one", "entry stopped", "release", "release beside a stopped entry",
		"endpoint crash", "configuration",
	}, f.kind)
})

// playDisorder keeps callers of all kinds busy, some on kept connections, while faults overlap.
func (s *soak) playDisorder(ctx context.Context, of []fault) {
	stop := s.startCallers(ctx, streamCallers-keepingCallers)
	stopKeeping := s.startKeepingCallers(ctx)
	s.injectFaults(ctx, of)
	s.endCallers(ctx, func() {
		stopKeeping()
		stop()
	})
}

// startKeepingCallers starts callers of streams that reuse connections. The returned function stops
// them and waits for them.
func (s *soak) startKeepingCallers(ctx context.Context) (stop func()) {
	c := newCaller(s.entries, s.checks, newRandom(s.random.Uint64()))
	c.client.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: keepingCallers, IdleConnTimeout: keptFor}
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for range keepingCallers {
		callers.Go(func() {
			for cicadaretry.Sleep(ctx, retryDelay) {
				c.streamFrom(ctx, c.intN(4) == 0)
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

func disturbEndpoint(d disturbance) func(context.Context, *soak, time.Duration) {
	return func(ctx context.Context, s *soak, length time.Duration) {
		e := s.anyEndpoint()
		s.log.Info("endpoint disturbed", "endpoint", e.id)
		p := e.proxy
		p.disturb(d)
		s.faults.Go(func() {
			cicadaretry.Sleep(ctx, length)
			p.disturb(undisturbed)
		})
	}
}

// disturbStore disturbs the store for one process, or for all.
func disturbStore(set func(f *storeFaults, on bool)) func(context.Context, *soak, time.Duration) {
	return func(ctx context.Context, s *soak, length time.Duration) {
		to := s.processes()
		if s.random.IntN(3) > 0 {
			to = []*process{s.pick(to)}
		}
		for _, p := range to {
			set(&p.front.storeFaults, true)
		}
		s.faults.Go(func() {
			cicadaretry.Sleep(ctx, length)
			for _, p := range to {
				set(&p.front.storeFaults, false)
			}
		})
	}
}

func durationIf(on bool, d time.Duration) int64 {
	if on {
		return int64(d)
	}
	return 0
}

// passAddress lets an endpoint end, and its address pass to one of another id, and perhaps of another
// service or version, which registers. Its former entry is removed later. Then the endpoint is back.
func (s *soak) passAddress(ctx context.Context, length time.Duration) {
	e := s.anyEndpoint()
	if !e.take() {
		return
	}
	s.passed++
	id := fmt.Sprintf("%s-next-%d", e.id, s.passed)
	version := []string{otherService, e.incarnation().version, fmt.Sprint("next-", s.passed)}[s.random.IntN(3)]
	s.log.Info("address passes on", "from", e.id, "to", id, "version", version)
	e.crash()
	s.faults.Go(func() {
		defer e.giveBack()
		cicadaretry.Sleep(ctx, addressReuse)
		s.serveInstead(ctx, e, id, version, length)
		cicadaretry.Sleep(ctx, addressReuse)
		e.proxy.passTo(e.address)
		s.startAgain(e)
	})
}

// serveInstead lets another endpoint serve at the address of one that has ended.
func (s *soak) serveInstead(ctx context.Context, e *endpoint, id, version string, length time.Duration) {
	next, err := startEndpoint(id, version, e.statesStart)
	if err != nil {
		s.log.Error("failed to start endpoint", "endpoint", id, "error", err)
		return
	}
	defer next.crash()
	next.putBehind(e.proxy)
	e.proxy.passTo(next.address)
	entry := next.incarnation().registration("ready")
	if version == otherService {
		entry["Service"] = otherService
	}
	s.store.put("servers", next.id, entry)
	cicadaretry.Sleep(ctx, length/2)
	s.store.remove("servers", e.id)
	cicadaretry.Sleep(ctx, length/2)
	s.store.remove("servers", next.id)
}

// changeSettings writes other settings for a process, and mostly sends it SIGHUP.
func (s *soak) changeSettings() {
	p := s.pick(s.processes())
	text := strings.NewReplacer("store-reads: 2000", "store-reads: 1500", "memory: 284MiB", "memory: 250MiB", "drain-limit: 8s", "drain-limit: 7s").Replace(s.settings(p))
	if err := os.WriteFile(filepath.Join(s.dir, p.name+".yaml"), []byte(text), 0o600); err != nil {
		s.log.Error("failed to write settings", "error", err)
	}
	if s.random.IntN(3) > 0 {
		p.signal(syscall.SIGHUP)
	}
}

// stopInSeries stops some processes one after the other, each before the one before goes on.
func (s *soak) stopInSeries(ctx context.Context, length time.Duration) {
	order := s.processes()
	s.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	s.faults.Go(func() {
		for _, p := range order[:len(order)/2] {
			s.suspend(ctx, p, length)
			cicadaretry.Sleep(ctx, length/2)
		}
	})
}
