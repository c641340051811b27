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

// keyMark is part of each key, so that a search finds a key in any place that must not contain one.
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

// Rules about customers, as named in violations.
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

// A recorder records the customers and their keys, the requests that callers send, and those that
// endpoints receive, and checks the rules about customers. It is safe for concurrent use.
type recorder struct {
	checks *checks
	// jobOwner is the customer to which all jobs belong.
	jobOwner string

	mu        sync.Mutex
	customers []*customer
	revoked   map[string]time.Time // by key, when the store acknowledged it
	requests  map[string]sentRequest
	run       map[string]bool         // by request, those that have reached an endpoint
	limited   map[string][]limitedRun // by customer
}

func newRecorder(c *checks, jobOwner string, customers ...*customer) *recorder {
	return &recorder{
		checks: c, jobOwner: jobOwner, customers: customers, revoked: make(map[string]time.Time),
		requests: make(map[string]sentRequest), run: make(map[string]bool), limited: make(map[string][]limitedRun),
	}
}

// customer returns the customer with a name.
func (rec *recorder) customer(name string) *customer {
	i := slices.IndexFunc(rec.customers, func(c *customer) bool { return c.name == name })
	return rec.customers[i]
}

// entries returns the customers as a configuration has them.
func (rec *recorder) entries() []map[string]any {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	entries := make([]map[string]any, 0, len(rec.customers))
	for _, c := range rec.customers {
		entries = append(entries, map[string]any{"Name": c.name, "ApiKeys": slices.Clone(c.keys), "RatePerS": c.rate, "Burst": c.burst})
	}
	return entries
}

// replaceKeys gives a customer one new key in place of all that it has. It returns those that it had.
func (rec *recorder) replaceKeys(name, key string) (old []string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := rec.customer(name)
	old, c.keys = c.keys, []string{key}
	return old
}

// recordRevoked records when the store acknowledged a configuration without some keys.
func (rec *recorder) recordRevoked(keys []string, at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, key := range keys {
		rec.revoked[key] = at
	}
}

// key returns the newest key of a customer.
func (rec *recorder) key(name string) string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	keys := rec.customer(name).keys
	return keys[len(keys)-1]
}

// sign sets the key of a customer, if any, in a request, and records the request. It also sets a forged
// name of a customer, which entries must not forward.
func (rec *recorder) sign(r *http.Request, customer, key string, public bool) {
	r.Header.Set("X-Tenant", "forged")
	if key != "" {
		r.Header.Set("Api-Key", key)
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[r.Header.Get("X-Request-Id")] = sentRequest{customer: customer, key: key, public: public, sent: time.Now()}
}

// signer returns a function that signs requests with the key of a customer.
func (rec *recorder) signer(customer string) func(*http.Request) {
	return func(r *http.Request) { rec.sign(r, customer, rec.key(customer), false) }
}

// recordArrival checks and records a request that an endpoint is about to run.
func (rec *recorder) recordArrival(r *http.Request, body []byte) {
	rec.recordArrivalAt(r, body, time.Now())
}

func (rec *recorder) recordArrivalAt(r *http.Request, body []byte, now time.Time) {
	id := r.Header.Get("X-Request-Id")
	rec.checkLeak(id, r, body)
	rec.mu.Lock()
	sent, known := rec.requests[id]
	if !known && strings.HasPrefix(r.URL.Path, batchPrefix) {
		sent, known = sentRequest{customer: rec.jobOwner}, true
	}
	revokedAt, isRevoked := rec.revoked[sent.key]
	if known && !rec.run[id] && sent.customer != "" && rec.customer(sent.customer).rate > 0 {
		rec.limited[sent.customer] = append(rec.limited[sent.customer], limitedRun{sent.sent, now})
	}
	rec.run[id] = true
	rec.mu.Unlock()
	told := r.Header.Get("X-Tenant")
	switch {
	case !known:
		rec.checks.count("requests of unknown callers")
	case sent.customer == "" && !sent.public:
		rec.checks.violate(runWithoutKey, id, r.URL.Path)
	case told != sent.customer:
		rec.checks.violate(wrongCustomer, id, fmt.Sprintf("%q instead of %q", told, sent.customer))
	}
	if late := sent.sent.Sub(revokedAt); isRevoked && late > revocationLimit {
		rec.checks.violate(runAfterLimit, id, fmt.Sprintf("sent %v after the key was withdrawn, run %v after it was sent", late, now.Sub(sent.sent)))
	}
}

// checkLeak looks for keys in all parts of a request.
func (rec *recorder) checkLeak(id string, r *http.Request, body []byte) {
	leaked := r.Header.Get("Api-Key") != "" || strings.Contains(string(body), keyMark) || strings.Contains(r.RequestURI, keyMark)
	for name, values := range r.Header {
		leaked = leaked || strings.Contains(name+strings.Join(values, ""), keyMark)
	}
	if leaked {
		rec.checks.violate(keyLeaked, id, r.URL.Path)
	}
}

// checkAnswer checks the status of the answer to a request with a customer's key that has not changed.
func (rec *recorder) checkAnswer(id, customer string, status int) {
	rec.mu.Lock()
	limited := customer != "" && rec.customer(customer).rate > 0
	rec.mu.Unlock()
	switch {
	case status == http.StatusUnauthorized:
		rec.checks.violate(validKeyRefused, id, customer)
	case status == http.StatusTooManyRequests && !limited:
		rec.checks.violate(unlimitedRefused, id, customer)
	}
}

// checkQuotas checks for each customer with a limit the window in which most of its requests were sent
// and reached an endpoint.
func (rec *recorder) checkQuotas() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, c := range rec.customers {
		if c.rate == 0 {
			continue
		}
		most := mostInWindow(rec.limited[c.name], quotaWindow)
		rec.checks.count(fmt.Sprintf("%s at most %d of %d in %v", c.name, most, c.allowed(quotaWindow), quotaWindow))
		if most > c.allowed(quotaWindow) {
			rec.checks.violate(quotaExceeded, c.name, fmt.Sprintf("%d in %v, %d are allowed", most, quotaWindow, c.allowed(quotaWindow)))
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

// checkStoredKeys looks for keys in what processes have written into files, and in the store beside the
// configuration.
func (rec *recorder) checkStoredKeys(dir string, s *store) {
	_ = filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // removed meanwhile
		}
		if data, err := os.ReadFile(path); err == nil && strings.Contains(string(data), keyMark) {
			rec.checks.violate(keyKept, path, "")
		}
		return nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, objects := range s.kinds {
		for name, o := range objects {
			if kind != "config" && strings.Contains(string(o.Spec)+string(o.Status), keyMark) {
				rec.checks.violate(keyKept, kind+"/"+name, "")
			}
		}
	}
}
