package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

// Prefixes of the routes that customers use beside those of all scenarios.
const (
	plainPrefix  = "/plain/"
	publicPrefix = "/open/"
)

// Customers of the scenario.
const (
	// workshop has no limit and sends all streams and jobs.
	workshop = "workshop"
	// modest stays far within its limit, and flooding sends eight times its rate to two entries.
	modest   = "modest"
	flooding = "flooding"
	// rotating gets a new key at each revocation.
	rotating = "rotating"
)

const (
	modestRate   = 40 // requests per second
	floodingRate = 20 // requests per second
	// Intervals between the requests of callers of each kind.
	modestInterval   = 100 * time.Millisecond
	floodingInterval = time.Second / (8 * floodingRate)
	rotatingInterval = 15 * time.Millisecond
	othersInterval   = 200 * time.Millisecond
	// customerStreams leaves slots for the requests of the other customers.
	customerStreams = 20
	// revocationMargin is how long callers go on with a revoked key after the limit.
	revocationMargin = 2500 * time.Millisecond
)

// withCustomers are the scenarios whose configuration has customers.
var withCustomers = map[string]bool{"customers": true}

func newCustomerRecorder(c *checks) *recorder {
	return newRecorder(
		c, workshop,
		&customer{name: workshop, keys: []string{keyMark + "workshop"}},
		&customer{name: modest, rate: modestRate, burst: modestRate, keys: []string{keyMark + "modest-spare", keyMark + "modest"}},
		&customer{name: flooding, rate: floodingRate, burst: floodingRate, keys: []string{keyMark + "flooding"}},
		&customer{name: rotating, keys: []string{keyMark + "rotating-0"}},
	)
}

// A revocationFault is what keeps an entry from learning that a key is revoked.
type revocationFault struct {
	kind string
	// inject comes before the revocation, and end after the limit and the margin.
	inject func(s *soak, p *process) (end func())
}

var revocationFaults = []revocationFault{
	{"entry stopped", func(_ *soak, p *process) (end func()) {
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"store refuses entry", func(_ *soak, p *process) (end func()) {
		p.front.refusing.Store(true)
		return func() { p.front.refusing.Store(false) }
	}},
	{"store silent for entry", func(_ *soak, p *process) (end func()) {
		p.front.silent.Store(true)
		return func() { p.front.silent.Store(false) }
	}},
	{"entry stopped, and continued without the store", func(s *soak, p *process) (end func()) {
		p.signal(syscall.SIGSTOP)
		return func() {
			p.front.refusing.Store(true)
			p.signal(syscall.SIGCONT)
			s.faults.Go(func() {
				time.Sleep(revocationMargin)
				p.front.refusing.Store(false)
			})
		}
	}},
	{"entry killed while the store refuses it", func(_ *soak, p *process) (end func()) {
		p.front.refusing.Store(true)
		p.signal(syscall.SIGKILL)
		return func() { p.front.refusing.Store(false) }
	}},
	{"entry alone", func(s *soak, p *process) (end func()) { return s.isolate(p) }},
}

// isolate keeps the store and all datagrams from a process, and the connections that others open to it.
func (s *soak) isolate(p *process) (end func()) {
	p.front.silent.Store(true)
	p.link.tcp.disturb(silent)
	passIn, passOut := p.link.udp.dropAll(), s.dropDatagramsFrom(p)
	return func() {
		p.front.silent.Store(false)
		p.link.tcp.disturb(undisturbed)
		passIn()
		passOut()
	}
}

// playCustomers lets the callers of all customers send requests while keys are revoked. During each
// revocation, a fault keeps one entry from learning of it for longer than the limit.
func (s *soak) playCustomers(ctx context.Context) {
	rec := s.cfg.customers
	s.sign = rec.signer(workshop)
	stop := s.startCallers(ctx, customerStreams)
	stopCustomers := s.startCustomers(ctx)
	first := s.random.IntN(len(revocationFaults))
	for i, end := 0, time.Now().Add(s.duration); time.Now().Before(end) && cicadaretry.Sleep(ctx, recoveryTime); i++ {
		s.rotateKey(ctx, i, revocationFaults[(first+i)%len(revocationFaults)])
	}
	s.faults.Wait()
	stopCustomers()
	s.endCallers(ctx, stop)
	rec.checkQuotas()
	rec.checkStoredKeys(s.dir, s.store)
}

// rotateKey revokes the key of one customer during a fault of one entry.
func (s *soak) rotateKey(ctx context.Context, round int, f revocationFault) {
	p := s.pick(s.entries)
	s.log.Info("key withdrawn", "during", f.kind, "entry", p.name)
	s.checks.disturb(revocationLimit + revocationMargin)
	end := f.inject(s, p)
	old := s.cfg.customers.replaceKeys(rotating, fmt.Sprint(keyMark, "rotating-", round+1))
	s.setConfig(int(s.config.Add(1)))
	s.cfg.customers.recordRevoked(old, time.Now())
	s.oldKey.Store(&old[0])
	cicadaretry.Sleep(ctx, revocationLimit+revocationMargin)
	end()
	s.checks.count("keys withdrawn, " + f.kind)
}

// startCustomers starts callers with keys of all customers, with revoked and unknown keys, and without
// keys. The returned function stops them and waits for them.
func (s *soak) startCustomers(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	rec := s.cfg.customers
	first := keyMark + "never"
	s.oldKey.Store(&first)
	c := newCaller(s.entries, s.checks, newRandom(s.random.Uint64()))
	var callers sync.WaitGroup
	every := func(interval time.Duration, send func()) {
		callers.Go(func() {
			for cicadaretry.Sleep(ctx, interval) {
				callers.Go(send)
			}
		})
	}
	for _, name := range []string{workshop, modest} {
		every(modestInterval, func() {
			c.sendPlain(ctx, rec, c.anyEntry(), plainRequest{customer: name, key: rec.key(name), valid: true})
		})
	}
	few := s.entries[:2]
	every(floodingInterval, func() {
		c.sendPlain(ctx, rec, few[c.intN(len(few))], plainRequest{customer: flooding, key: rec.key(flooding), valid: true})
	})
	every(rotatingInterval, func() { c.sendPlain(ctx, rec, c.anyEntry(), plainRequest{customer: rotating, key: rec.key(rotating)}) })
	every(rotatingInterval, func() {
		c.sendPlain(ctx, rec, c.anyEntry(), plainRequest{customer: rotating, key: *s.oldKey.Load(), old: true})
	})
	every(othersInterval, func() { c.sendPlain(ctx, rec, c.anyEntry(), plainRequest{key: keyMark + "unknown"}) })
	every(othersInterval, func() { c.sendPlain(ctx, rec, c.anyEntry(), plainRequest{}) })
	every(othersInterval, func() { c.sendPlain(ctx, rec, c.anyEntry(), plainRequest{public: true, valid: true}) })
	every(othersInterval, func() { c.readForeignJob(ctx, rec, s.accepted.all()) })
	return func() {
		cancel()
		callers.Wait()
	}
}

// A plainRequest is a request for a short answer.
type plainRequest struct {
	customer, key string
	public        bool // on the public route
	valid         bool // with a key that is never revoked, or public
	old           bool // with the key that was revoked last
}

// kind names the request in counts.
func (r plainRequest) kind() string {
	switch {
	case r.public:
		return "public"
	case r.old:
		return "withdrawn key"
	case r.customer != "":
		return r.customer
	case r.key != "":
		return "unknown key"
	}
	return "no key"
}

// sendPlain sends a request to an entry, and checks and counts the status of the answer.
func (c *caller) sendPlain(ctx context.Context, rec *recorder, p *process, r plainRequest) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	id, prefix := c.id(), plainPrefix
	if r.public {
		prefix = publicPrefix
	}
	signed := newCaller(c.entries, c.checks, nil)
	signed.client = c.client
	signed.sign = func(req *http.Request) { rec.sign(req, r.customer, r.key, r.public) }
	res, err := signed.do(ctx, p, http.MethodGet, prefix+id, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"}, nil)
	if err != nil {
		c.checks.count(r.kind() + " without an answer")
		return
	}
	_ = res.Body.Close()
	c.checks.count(fmt.Sprintf("%s %d", r.kind(), res.StatusCode))
	if r.valid {
		rec.checkAnswer(id, r.customer, res.StatusCode)
	}
}

// readForeignJob reads a job with the key of a customer that it does not belong to.
func (c *caller) readForeignJob(ctx context.Context, rec *recorder, jobs []*jobReads) {
	if len(jobs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	other := newCaller(c.entries, c.checks, nil)
	other.sign = rec.signer(modest)
	job := jobs[c.intN(len(jobs))].job
	res, err := other.do(ctx, c.anyEntry(), http.MethodGet, "/cicadalink/lots/"+job+"?After=0", map[string]string{"X-Request-Id": c.id()}, nil)
	if err != nil {
		return
	}
	_ = res.Body.Close()
	c.checks.count(fmt.Sprintf("job of another customer %d", res.StatusCode))
	if res.StatusCode == http.StatusOK {
		c.checks.violate("job of another customer found", job, "")
	}
}
