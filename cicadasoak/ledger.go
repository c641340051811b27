package main

import (
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// keyMark is part of each key, so that a key is found wherever it has got to.
const keyMark = "soak-key-"

const (
	// revocationLimit is the time after the store's acknowledgement from which a revoked key must
	// not be used.
	revocationLimit = 5 * time.Second
	// quotaWindow, quotaOverage and quotaSlack bound the requests of a customer in any window, beyond
	// its rate and burst.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// Rules about customers.
const (
	keyLeaked        = "key sent to an endpoint"
	keyKept          = "key in a log, a file or an object of the store"
	wrongCustomer    = "endpoint told another customer"
	runWithoutKey    = "request without a valid key ran"
	runAfterLimit    = "request with a withdrawn key ran after the limit"
	quotaExceeded    = "more requests than the quota allows"
	validKeyRefused  = "valid key refused"
	unlimitedRefused = "customer without a limit refused for its rate"
)

// A customer is one customer of the configuration.
type customer struct {
	name string
	// rate and burst limit its requests, unless they are 0.
	rate, burst float64
	keys        []string
}

// allowed returns how many requests of the customer may run that are sent in a window.
func (c *customer) allowed(window time.Duration) int {
	return int((c.rate*window.Seconds()+c.burst)*(1+quotaOverage) + quotaSlack)
}

// A sentRequest is a request that a caller has sent.
type sentRequest struct {
	customer, key string
	public        bool
	sent          time.Time
}

// A limitedRun is the first run of a request of a customer with a limit.
type limitedRun struct{ sent, arrived time.Time }

// A ledger holds the customers and their keys, what callers send, and what endpoints get. It is safe for
// concurrent use.
type ledger struct {
	checks *checks
	// jobs is the customer to which all jobs belong.
	jobs string

	mu        sync.Mutex
	customers []*customer
	revoked   map[string]time.Time // by key, when the store acknowledged it
	requests  map[string]sentRequest
	run       map[string]bool         // by request, those that have reached an endpoint
	limited   map[string][]limitedRun // by customer
}

func newLedger(c *checks, jobs string, customers ...*customer) *ledger {
	return &ledger{
		checks: c, jobs: jobs, customers: customers, revoked: make(map[string]time.Time),
		requests: make(map[string]sentRequest), run: make(map[string]bool), limited: make(map[string][]limitedRun),
	}
}

// customer returns the customer with a name.
func (l *ledger) customer(name string) *customer {
	i := slices.IndexFunc(l.customers, func(c *customer) bool { return c.name == name })
	return l.customers[i]
}

// entries returns the customers as a configuration has them.
func (l *ledger) entries() []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]map[string]any, 0, len(l.customers))
	for _, c := range l.customers {
		entries = append(entries, map[string]any{"Name": c.name, "ApiKeys": slices.Clone(c.keys), "RatePerS": c.rate, "Burst": c.burst})
	}
	return entries
}

// replaceKeys gives a customer one new key in place of all that it has. It returns those that it had.
func (l *ledger) replaceKeys(name, key string) (old []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.customer(name)
	old, c.keys = c.keys, []string{key}
	return old
}

// recordRevoked notes that the store has acknowledged a configuration without some keys.
func (l *ledger) recordRevoked(keys []string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		l.revoked[key] = at
	}
}

// key returns the newest key of a customer.
func (l *ledger) key(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.customer(name).keys
	return keys[len(keys)-1]
}

// sign gives a request the key of a customer, or none, and records it. Callers also claim to be another
// customer, which entries must not pass on.
func (l *ledger) sign(r *http.Request, customer, key string, public bool) {
	r.Header.Set("X-Tenant", "forged")
	if key != "" {
		r.Header.Set("Api-Key", key)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.Header.Get("X-Request-Id")] = sentRequest{customer: customer, key: key, public: public, sent: time.Now()}
}

// signAs returns a function that signs requests with the key of a customer.
func (l *ledger) signAs(customer string) func(*http.Request) {
	return func(r *http.Request) { l.sign(r, customer, l.key(customer), false) }
}

// arrive checks a request that an endpoint got and is about to run.
func (l *ledger) arrive(r *http.Request, body []byte) { l.arriveAt(r, body, time.Now()) }

func (l *ledger) arriveAt(r *http.Request, body []byte, now time.Time) {
	id := r.Header.Get("X-Request-Id")
	l.checkLeak(id, r, body)
	l.mu.Lock()
	sent, known := l.requests[id]
	if !known && strings.HasPrefix(r.URL.Path, batchPrefix) {
		sent, known = sentRequest{customer: l.jobs}, true
	}
	revokedAt, isRevoked := l.revoked[sent.key]
	if known && !l.run[id] && sent.customer != "" && l.customer(sent.customer).rate > 0 {
		l.limited[sent.customer] = append(l.limited[sent.customer], limitedRun{sent.sent, now})
	}
	l.run[id] = true
	l.mu.Unlock()
	told := r.Header.Get("X-Tenant")
	switch {
	case !known:
		l.checks.count("requests of unknown callers")
	case sent.customer == "" && !sent.public:
		l.checks.violate(runWithoutKey, id, r.URL.Path)
	case told != sent.customer:
		l.checks.violate(wrongCustomer, id, fmt.Sprintf("%q instead of %q", told, sent.customer))
	}
	if late := sent.sent.Sub(revokedAt); isRevoked && late > revocationLimit {
		l.checks.violate(runAfterLimit, id, fmt.Sprintf("sent %v after the key was withdrawn, run %v after it was sent", late, now.Sub(sent.sent)))
	}
}

// checkLeak looks for keys in all parts of a request.
func (l *ledger) checkLeak(id string, r *http.Request, body []byte) {
	leaked := r.Header.Get("Api-Key") != "" || strings.Contains(string(body), keyMark) || strings.Contains(r.RequestURI, keyMark)
	for name, values := range r.Header {
		leaked = leaked || strings.Contains(name+strings.Join(values, ""), keyMark)
	}
	if leaked {
		l.checks.violate(keyLeaked, id, r.URL.Path)
	}
}

// answer checks the status of the answer to a request with a customer's key that has not changed.
func (l *ledger) answer(id, customer string, status int) {
	l.mu.Lock()
	limited := customer != "" && l.customer(customer).rate > 0
	l.mu.Unlock()
	switch {
	case status == http.StatusUnauthorized:
		l.checks.violate(validKeyRefused, id, customer)
	case status == http.StatusTooManyRequests && !limited:
		l.checks.violate(unlimitedRefused, id, customer)
	}
}

// checkQuotas checks for each customer with a limit the window in which most of its requests were sent
// and reached an endpoint.
func (l *ledger) checkQuotas() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.customers {
		if c.rate == 0 {
			continue
		}
		most := mostInWindow(l.limited[c.name], quotaWindow)
		l.checks.count(fmt.Sprintf("%s at most %d of %d in %v", c.name, most, c.allowed(quotaWindow), quotaWindow))
		if most > c.allowed(quotaWindow) {
			l.checks.violate(quotaExceeded, c.name, fmt.Sprintf("%d in %v, %d are allowed", most, quotaWindow, c.allowed(quotaWindow)))
		}
	}
}

// mostInWindow returns the largest number of requests that were sent and arrived within any window.
func mostInWindow(runs []limitedRun, window time.Duration) int {
	runs = slices.SortedFunc(slices.Values(runs), func(a, b limitedRun) int { return a.sent.Compare(b.sent) })
	most := 0
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.sent.After(first.sent.Add(window)) {
				break
			}
			if !r.arrived.After(first.sent.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// checkKept looks for keys in what processes have written into files, and in the store beside the
// configuration.
func (l *ledger) checkKept(dir string, s *store) {
	_ = filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // removed meanwhile
		}
		if data, err := os.ReadFile(path); err == nil && strings.Contains(string(data), keyMark) {
			l.checks.violate(keyKept, path, "")
		}
		return nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, objects := range s.kinds {
		for name, o := range objects {
			if kind != "config" && strings.Contains(string(o.Spec)+string(o.Status), keyMark) {
				l.checks.violate(keyKept, kind+"/"+name, "")
			}
		}
	}
}
