package cicadarelay

import (
	"context"
	"net/http"
	"time"

	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// Reasons why a request is refused because of its key or its customer's limit.
const (
	reasonNoKey              = "no-key"
	reasonUnknownKey         = "unknown-key"
	reasonStaleConfiguration = "stale-configuration"
	reasonRateLimit          = "rate-limit"
	reasonUnknownLimit       = "rate-limit-unknown"
)

// staleRetryAfter is the time after which a caller should try another entry, while this one does
// not know whether its keys are still valid.
const staleRetryAfter = 50 * time.Millisecond

// A Quota is one request's share of its customer's rate limit.
type Quota struct {
	// Allowed is set if the request is within the limit. Otherwise Known is set if it exceeds
	// the limit, and not if the limit could not be checked.
	Allowed, Known bool
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Detail describes for the log what decided.
	Detail string
	// Return gives back the share of a request that was not sent to any endpoint.
	Return func()
}

// CustomerPolicy holds what decides about the requests of customers. It has no effect in a
// deployment without customers.
type CustomerPolicy struct {
	// Fresh reports whether the configuration in force was confirmed so recently that no key that
	// it holds may have been withdrawn too long ago.
	Fresh func() bool
	// AcquireQuota takes a request's share of the rate limit of a customer.
	AcquireQuota func(ctx context.Context, customer string, limit cicadaview.RateLimit) Quota
}

// WithCustomers sets the policy for the requests of customers. The default trusts the
// configuration in force, however old it is, and enforces no rate limits.
func WithCustomers(policy CustomerPolicy) Option {
	return func(r *Relay) { r.customers = policy }
}

// A caller is who sent a request: a customer, or nobody in particular if customer is nil.
type caller struct {
	customer *cicadaview.Customer
	key      cicadaview.KeyDigest
	// customers is set if the deployment has customers, so that the headers of keys and customers
	// are not the caller's to set.
	customers bool
	// unchecked is set if the caller has a key that it does not need, and that cannot be checked now.
	unchecked bool
}

// name returns the name of the caller's customer, or "".
func (c caller) name() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// authenticate returns who sent a request. If the request must be refused, it returns the status
// and the reason. A request that needs no key may have one.
func (rl *Relay) authenticate(config *cicadaview.Config, r *http.Request, needsKey bool) (c caller, status int, reason string) {
	if !config.HasCustomers() {
		return caller{}, 0, ""
	}
	c.customers = true
	key := r.Header.Get(adapter.HeaderKey)
	switch {
	case key == "" && needsKey:
		return c, http.StatusUnauthorized, reasonNoKey
	case key == "":
		return c, 0, ""
	}
	c.key = cicadaview.DigestKey(key)
	status, reason = rl.verify(config, &c)
	if !needsKey {
		c.unchecked = status == http.StatusServiceUnavailable
		return c, 0, ""
	}
	return c, status, reason
}

// verify looks up the customer that holds the caller's key. While the configuration may be
// outdated, it tells neither that a key is valid nor that it is not.
func (rl *Relay) verify(config *cicadaview.Config, c *caller) (status int, reason string) {
	if !rl.customers.Fresh() {
		return http.StatusServiceUnavailable, reasonStaleConfiguration
	}
	customer, ok := config.CustomerByKey(c.key)
	if !ok {
		return http.StatusUnauthorized, reasonUnknownKey
	}
	c.customer = customer
	return 0, ""
}

// refuseCaller refuses a request because of its key.
func (rl *Relay) refuseCaller(w http.ResponseWriter, r *http.Request, status int, reason string) {
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = staleRetryAfter
	}
	rl.refuse(w, r, status, reason, retryAfter)
}

// refuseUnchecked refuses a call on a job, or its submission, if it has a key that cannot be checked now:
// the job would be looked for, or stored, as one of no customer. It reports whether it has.
func (rl *Relay) refuseUnchecked(w http.ResponseWriter, r *http.Request, sender caller) bool {
	if sender.unchecked {
		rl.refuseCaller(w, r, http.StatusServiceUnavailable, reasonStaleConfiguration)
	}
	return sender.unchecked
}

// needsKey reports whether a request on the route must have a key.
func needsKey(route *cicadaview.Route) bool { return !route.Public }

// stillValid reports whether the key of a request is valid just before it is sent to an endpoint,
// as it may have been withdrawn while the request waited. If not, the request fails, unless its
// route needs no key: it is then sent without a customer.
func (x *exchange) stillValid(ctx context.Context) bool {
	if x.caller.customer == nil && !x.customersIntroduced {
		return true
	}
	config := x.relay.config()
	if !config.HasCustomers() {
		return true
	}
	var status int
	var reason string
	if x.caller.customers {
		status, reason = x.relay.verify(config, &x.caller)
	} else {
		x.caller, status, reason = x.relay.authenticate(config, x.r, needsKey(x.route))
		x.customersIntroduced = false
	}
	if status == 0 {
		return true
	}
	if !needsKey(x.route) {
		x.caller.customer = nil
		return true
	}
	if x.runs > 0 || x.headerSent {
		x.fail(ctx, errKeyWithdrawn)
		return false
	}
	x.relay.refuseCaller(x.w, x.r, status, reason)
	return false
}

// acquireQuota takes the request's share of its customer's rate limit. It reports false if the
// request was refused.
func (x *exchange) acquireQuota(ctx context.Context) bool {
	customer := x.caller.customer
	if customer == nil {
		return true
	}
	counter := x.relay.customerCounters.of(customer.Name)
	if !customer.Rate.Limited() || x.relay.customers.AcquireQuota == nil {
		counter.admitted.Inc(1)
		return true
	}
	quota := x.relay.customers.AcquireQuota(ctx, customer.Name, customer.Rate)
	if quota.Allowed {
		x.returnQuota = quota.Return
		counter.admitted.Inc(1)
		return true
	}
	status, reason, refused := http.StatusTooManyRequests, reasonRateLimit, counter.refused
	if !quota.Known {
		status, reason, refused = http.StatusServiceUnavailable, reasonUnknownLimit, counter.unknown
	}
	refused.Inc(1)
	x.relay.log.Info("request exceeds rate limit", "id", x.id, "customer", customer.Name, "limit", customer.Rate.PerSecond,
		"burst", customer.Rate.Burst, "known", quota.Known, "decided-by", quota.Detail, "config", x.relay.config().Version())
	x.relay.refuse(x.w, x.r, status, reason, quota.RetryAfter)
	return false
}

// releaseQuota gives back the request's share of the rate limit if it was sent to no endpoint.
func (x *exchange) releaseQuota() {
	if x.runs == 0 && x.returnQuota != nil {
		x.returnQuota()
	}
}

// identify replaces the key in the header of a request to an endpoint by the name of the
// customer.
func (c caller) identify(h http.Header) {
	if !c.customers {
		return
	}
	h.Del(adapter.HeaderKey)
	h.Del(adapter.HeaderCustomer)
	if c.customer != nil {
		h.Set(adapter.HeaderCustomer, c.customer.Name)
	}
}
