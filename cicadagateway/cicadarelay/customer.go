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

// staleRetryAfter is the time after which a caller should retry while this entry cannot check keys. It
// is short because another entry probably can.
const staleRetryAfter = 50 * time.Millisecond

// A QuotaDecision is the decision on one request of a customer with a rate limit.
type QuotaDecision struct {
	// Allowed is set if the request is within the limit. If it is not set, Known distinguishes a
	// request over the limit (true) from a limit that could not be checked (false).
	Allowed, Known bool
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Detail describes the decision in log lines.
	Detail string
	// Return gives back the quota of an allowed request that was not sent to any endpoint.
	Return func()
}

// CustomerPolicy holds the functions that decide on requests of customers. It has no effect in a
// deployment without customers.
type CustomerPolicy struct {
	// Fresh reports whether the configuration in force was confirmed so recently that no key that
	// it holds may have been revoked too long ago.
	Fresh func() bool
	// AcquireQuota decides whether a request is within the rate limit of its customer. It may block
	// until ctx is done. If it is nil, rate limits are not enforced.
	AcquireQuota func(ctx context.Context, customer string, limit cicadaview.RateLimit) QuotaDecision
}

// WithCustomers sets the policy for the requests of customers. The default trusts the
// configuration in force, however old it is, and enforces no rate limits.
func WithCustomers(policy CustomerPolicy) Option {
	return func(r *Relay) { r.customers = policy }
}

// A checkedConfig is a configuration and whether it was fresh, see CustomerPolicy.Fresh.
type checkedConfig struct {
	*cicadaview.Config
	fresh bool
}

// checkedConfig returns the configuration in force. Whether it is fresh is asked first: a configuration
// that takes effect in between is newer than the one that was, and the keys of an older one are never
// accepted because a newer one has been confirmed.
func (rl *Relay) checkedConfig() checkedConfig {
	fresh := rl.customers.Fresh()
	return checkedConfig{rl.config(), fresh}
}

// A caller is the authenticated sender of a request. It is anonymous if customer is nil.
type caller struct {
	customer *cicadaview.Customer
	key      cicadaview.KeyDigest
	// customers is set if the deployment has customers. The headers with the key and the customer are
	// then not passed on from the request.
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

// authenticate returns the caller of a request. If the request must be refused, it returns the status
// and the reason, and otherwise status 0. A request that needs no key may have one.
func (rl *Relay) authenticate(config checkedConfig, r *http.Request, needsKey bool) (c caller, status int, reason string) {
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

// verify looks up the customer that holds the caller's key. While the configuration may be outdated,
// it neither accepts nor rejects keys, and returns 503.
func (rl *Relay) verify(config checkedConfig, c *caller) (status int, reason string) {
	if !config.fresh {
		return http.StatusServiceUnavailable, reasonStaleConfiguration
	}
	customer, ok := config.CustomerByKey(c.key)
	if !ok {
		return http.StatusUnauthorized, reasonUnknownKey
	}
	c.customer = customer
	return 0, ""
}

// refuseKey refuses a request because of its key.
func (rl *Relay) refuseKey(w http.ResponseWriter, r *http.Request, status int, reason string) {
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
		rl.refuseKey(w, r, http.StatusServiceUnavailable, reasonStaleConfiguration)
	}
	return sender.unchecked
}

// needsKey reports whether a request on the route must have a key.
func needsKey(route *cicadaview.Route) bool { return !route.Public }

// recheckKey checks the key again just before the request is sent to an endpoint, since it may have
// been revoked while the request waited. If the key is not valid, recheckKey ends the request and
// returns false, unless its route needs no key: it is then sent without a customer.
func (x *exchange) recheckKey(ctx context.Context) bool {
	if x.caller.customer == nil && !x.customersIntroduced {
		return true
	}
	config := x.relay.checkedConfig()
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
		x.fail(ctx, errKeyRevoked)
		return false
	}
	x.relay.refuseKey(x.w, x.r, status, reason)
	return false
}

// acquireQuota checks the request against its customer's rate limit. If the request is not within the
// limit, acquireQuota refuses it and returns false.
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

// releaseQuota gives back the quota of a request that was not sent to any endpoint.
func (x *exchange) releaseQuota() {
	if x.runs == 0 && x.returnQuota != nil {
		x.returnQuota()
	}
}

// setHeaders removes the key from the header of a request to an endpoint and sets the name of the
// customer.
func (c caller) setHeaders(h http.Header) {
	if !c.customers {
		return
	}
	h.Del(adapter.HeaderKey)
	h.Del(adapter.HeaderCustomer)
	if c.customer != nil {
		h.Set(adapter.HeaderCustomer, c.customer.Name)
	}
}
