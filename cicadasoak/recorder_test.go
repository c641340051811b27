package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestRecorderFindsEachFault guards against checks of requests at endpoints that never fail.
func TestRecorderFindsEachFault(t *testing.T) {
	sent := time.Now()
	valid := sentRequest{customer: modest, key: keyMark + modest, sent: sent}
	for name, c := range map[string]struct {
		request sentRequest
		header  map[string]string
		path    string
		body    string
		revoked time.Duration // before the request was sent, or 0
		want    string
	}{
		"valid":                 {request: valid, header: map[string]string{"X-Tenant": modest}},
		"public":                {request: sentRequest{public: true, sent: sent}},
		"key in its header":     {request: valid, header: map[string]string{"X-Tenant": modest, "Api-Key": "x"}, want: keyLeaked},
		"key in another header": {request: valid, header: map[string]string{"X-Tenant": modest, "X-Note": valid.key}, want: keyLeaked},
		"key in the body":       {request: valid, header: map[string]string{"X-Tenant": modest}, body: valid.key, want: keyLeaked},
		"key in the path":       {request: valid, header: map[string]string{"X-Tenant": modest}, path: valid.key, want: keyLeaked},
		"no customer":           {request: valid, want: wrongCustomer},
		"another customer":      {request: valid, header: map[string]string{"X-Tenant": workshop}, want: wrongCustomer},
		"forged":                {request: sentRequest{public: true, sent: sent}, header: map[string]string{"X-Tenant": "forged"}, want: wrongCustomer},
		"unknown key":           {request: sentRequest{key: keyMark + "unknown", sent: sent}, want: runWithoutKey},
		"revoked, in time":      {request: valid, header: map[string]string{"X-Tenant": modest}, revoked: revocationLimit},
		"revoked, late":         {request: valid, header: map[string]string{"X-Tenant": modest}, revoked: revocationLimit + time.Millisecond, want: runAfterLimit},
	} {
		checks := newChecks(hclog.NewNullLogger())
		rec := newCustomerRecorder(checks)
		rec.requests["r"] = c.request
		if c.revoked > 0 {
			rec.recordRevoked([]string{c.request.key}, sent.Add(-c.revoked))
		}
		r := httptest.NewRequest(http.MethodPost, plainPrefix+c.path, nil)
		r.Header.Set("X-Request-Id", "r")
		for name, value := range c.header {
			r.Header.Set(name, value)
		}
		rec.recordArrivalAt(r, []byte(c.body), sent.Add(time.Second))
		assert.Equal(t, checks.broken(), c.want != "", name)
		assert.Equal(t, checks.violations[c.want] > 0, c.want != "", name)
	}
}

// TestItemsBelongToTheCustomerOfTheirJob guards against items of jobs that are not checked.
func TestItemsBelongToTheCustomerOfTheirJob(t *testing.T) {
	for told, broken := range map[string]bool{workshop: false, modest: true} {
		checks := newChecks(hclog.NewNullLogger())
		r := httptest.NewRequest(http.MethodPost, batchPrefix+"i", nil)
		r.Header.Set("X-Request-Id", "i")
		r.Header.Set("X-Tenant", told)
		newCustomerRecorder(checks).recordArrival(r, nil)
		assert.Equal(t, checks.broken(), broken, told)
	}
}

// TestQuotaCountsAnyWindow guards against windows that begin only at fixed times, against requests that are
// counted twice, and against those that were sent long before they ran.
func TestQuotaCountsAnyWindow(t *testing.T) {
	allowed := newCustomerRecorder(nil).customer(flooding).allowed(quotaWindow)
	assert.Equal(t, allowed, 152)
	for name, c := range map[string]struct {
		n       int
		first   time.Duration // when the first is sent, and the others at even distances
		spread  time.Duration // from the first to the last
		waiting time.Duration
		want    bool
	}{
		"as many as allowed":        {n: allowed, spread: quotaWindow},
		"one more":                  {n: allowed + 1, spread: quotaWindow, want: true},
		"one more across a border":  {n: allowed + 1, first: quotaWindow / 2, spread: quotaWindow, want: true},
		"one more, longer":          {n: allowed + 1, spread: quotaWindow + time.Second},
		"one more, run much later":  {n: allowed + 1, spread: quotaWindow, waiting: time.Second},
		"one more at once, waiting": {n: allowed + 1, waiting: time.Second, want: true},
	} {
		checks := newChecks(hclog.NewNullLogger())
		rec := newCustomerRecorder(checks)
		start := time.Now().Add(c.first)
		for i := range c.n {
			sent := start.Add(c.spread * time.Duration(i) / time.Duration(c.n-1))
			id := fmt.Sprint(i)
			rec.requests[id] = sentRequest{customer: flooding, key: keyMark + flooding, sent: sent}
			r := httptest.NewRequest(http.MethodGet, plainPrefix, nil)
			r.Header.Set("X-Request-Id", id)
			r.Header.Set("X-Tenant", flooding)
			for range 2 { // a second attempt
				rec.recordArrivalAt(r, nil, sent.Add(c.waiting))
			}
		}
		rec.checkQuotas()
		assert.Equal(t, checks.violations[quotaExceeded] > 0, c.want, name)
		assert.Equal(t, checks.broken(), c.want, name)
	}
}

// TestAnswersToValidKeys guards against checks of answers that never fail.
func TestAnswersToValidKeys(t *testing.T) {
	for _, c := range []struct {
		customer string
		status   int
		want     string
	}{
		{workshop, http.StatusOK, ""},
		{workshop, http.StatusServiceUnavailable, ""},
		{modest, http.StatusTooManyRequests, ""},
		{workshop, http.StatusTooManyRequests, unlimitedRefused},
		{"", http.StatusTooManyRequests, unlimitedRefused},
		{modest, http.StatusUnauthorized, validKeyRefused},
		{"", http.StatusUnauthorized, validKeyRefused},
	} {
		checks := newChecks(hclog.NewNullLogger())
		newCustomerRecorder(checks).checkAnswer("r", c.customer, c.status)
		assert.Equal(t, checks.broken(), c.want != "", "%+v", c)
		assert.Equal(t, checks.violations[c.want] > 0, c.want != "", "%+v", c)
	}
}

// TestKeptKeysAreFound guards against a search that misses a file or an object, or that takes the configuration
// for a place where no key may be.
func TestKeptKeysAreFound(t *testing.T) {
	key := keyMark + workshop
	for name, fill := range map[string]func(dir string, s *store) error{
		"": func(dir string, s *store) error {
			s.put("config", "main", key)
			return os.WriteFile(filepath.Join(dir, "entry-1.log"), []byte("ready"), 0o600)
		},
		"log": func(dir string, _ *store) error {
			return os.WriteFile(filepath.Join(dir, "entry-1.log"), []byte("key="+key), 0o600)
		},
		"object": func(_ string, s *store) error {
			s.put("cicada-jobs", "j", map[string]string{"Key": key})
			return nil
		},
	} {
		checks := newChecks(hclog.NewNullLogger())
		dir, s := t.TempDir(), newStore()
		assert.NilError(t, fill(dir, s))
		newCustomerRecorder(checks).checkStoredKeys(dir, s)
		assert.Equal(t, checks.violations[keyKept] > 0, name != "", name)
	}
}

// TestCustomerSettingsFillTheTemplate guards against placeholders of customers that stay empty, and against
// limits in a deployment without customers.
func TestCustomerSettingsFillTheTemplate(t *testing.T) {
	p := &process{name: "entry-1", ip: "127.1.1.1", entry: true}
	d := &deployment{template: "{{#Bounds.StrictRevoke}}limit: {{Bounds.RevokeMs}}ms{{/Bounds.StrictRevoke}}\n"}
	assert.Equal(t, d.settings(p), "\n")
	d.cfg.customers = newCustomerRecorder(nil)
	assert.Equal(t, d.settings(p), "limit: 5000ms\n")
	d.cfg.customerSettings = true
	assert.Assert(t, strings.Contains(d.settings(p), "\nrevocation-limit: 5000ms\nquota-slack: 20\n"))
}
