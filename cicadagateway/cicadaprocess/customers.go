package cicadaprocess

import (
	"context"
	"time"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadafreshness"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaratelimit"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadakernel/cicadaclock"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	// customerTickInterval is the interval at which confirmations and rate limits are updated. Both
	// packages require the same interval.
	customerTickInterval = cicadaratelimit.TickInterval
	// revocationMargin covers the time from the check of a key to the arrival of the request at an
	// endpoint, and the difference between the rates of two clocks over the revocation limit.
	revocationMargin = 200 * time.Millisecond
	// unlistedRetryAfter is the time after which a caller should retry while the entry has not yet
	// received the list of entries, on which rate limits depend.
	unlistedRetryAfter = 200 * time.Millisecond
)

// startCustomers starts the tracker of the configuration's confirmation, if there is a revocation
// limit, and the rate limiter of an entry.
func (n *Node) startCustomers(ctx context.Context) {
	if limit := time.Duration(n.cfg.RevocationLimit); limit > 0 {
		n.freshness = cicadafreshness.New(n.cfg.Name, limit-revocationMargin,
			func(member string, m cicadafreshness.Message) { n.sendMessage(member, m) },
			cicadafreshness.WithClock(cicadaclock.SinceBoot),
			cicadafreshness.WithMembers(n.liveMembers),
			cicadafreshness.WithCoordinator(func() string { return n.group.Coordinator(n.storeUp.Load()) }),
			cicadafreshness.WithRead(n.refreshConfig),
			cicadafreshness.WithOnNewer(n.fetchNewerConfig),
			cicadafreshness.WithLog(n.log), cicadafreshness.WithScope(n.process.Scope()))
	}
	if n.cfg.Role == RoleEntry {
		n.quotas = cicadaratelimit.New(n.cfg.Name, n.contactedEntries,
			func(member string, m cicadaratelimit.Message) { n.sendMessage(member, m) },
			cicadaratelimit.WithClock(cicadaclock.SinceBoot), cicadaratelimit.WithSlack(n.cfg.QuotaSlack),
			cicadaratelimit.WithLimitOf(n.limitOf),
			cicadaratelimit.WithLog(n.log), cicadaratelimit.WithScope(n.process.Scope()))
	}
	n.wg.Go(func() {
		for cicadaretry.Sleep(ctx, customerTickInterval) {
			n.tickCustomers()
		}
	})
}

// tickCustomers does the periodic work. Without customers, nothing is exchanged.
func (n *Node) tickCustomers() {
	config := n.config.Load()
	if config == nil || !config.HasCustomers() {
		return
	}
	if n.freshness != nil {
		n.freshness.Tick()
	}
	if n.quotas != nil {
		n.quotas.Tick()
	}
}

// configIsFresh reports whether keys can be checked: the configuration in force has been confirmed
// within the revocation limit.
func (n *Node) configIsFresh() bool { return n.freshness == nil || n.freshness.Fresh() }

// customersServed reports whether the process can serve requests with keys, or needs no keys.
func (n *Node) customersServed() bool {
	config := n.config.Load()
	return config == nil || !config.HasCustomers() || n.configIsFresh()
}

// confirmConfig records that the store held a version of the configuration when it was asked.
func (n *Node) confirmConfig(c cicadafollow.Change, config *cicadaview.Config) {
	if askedAt, ok := c.AskedAt(); ok && n.freshness != nil {
		n.freshness.RecordRead(config.Version(), askedAt)
	}
}

// refreshConfig makes the follower of the configuration list it now.
func (n *Node) refreshConfig() {
	if n.followersStarted.Load() {
		n.configFollower.Refresh()
	}
}

// fetchNewerConfig reads the configuration if a peer still has a newer version once this process's
// own watch has had time to deliver it.
func (n *Node) fetchNewerConfig(version int64) {
	time.AfterFunc(catchUpDelay, func() {
		if c := n.config.Load(); c == nil || c.Version() < version {
			n.refreshConfig()
		}
	})
}

func (n *Node) liveMembers() []string {
	live, _ := n.group.Names()
	return live
}

func (n *Node) contactedEntries() cicadaratelimit.Members {
	names, known := n.group.InContact(cicadapeer.RoleEntry)
	return cicadaratelimit.Members{Live: names, Known: known}
}

// limitOf returns a customer's rate limit in the configuration in force.
func (n *Node) limitOf(customer string) (cicadaratelimit.Limit, bool) {
	config := n.config.Load()
	if config == nil {
		return cicadaratelimit.Limit{}, false
	}
	c, ok := config.Customer(customer)
	if !ok {
		return cicadaratelimit.Limit{}, false
	}
	return cicadaratelimit.Limit(c.Rate), true
}

// customerPolicy returns the functions by which the relay decides on requests of customers.
func (n *Node) customerPolicy() cicadarelay.CustomerPolicy {
	return cicadarelay.CustomerPolicy{
		Fresh: n.configIsFresh,
		AcquireQuota: func(ctx context.Context, customer string, limit cicadaview.RateLimit) cicadarelay.QuotaDecision {
			if !n.directory.listed.Load() {
				return cicadarelay.QuotaDecision{RetryAfter: unlistedRetryAfter, Detail: "entries not known yet"}
			}
			at := cicadaclock.SinceBoot()
			d := n.quotas.Acquire(ctx, customer, cicadaratelimit.Limit(limit))
			return cicadarelay.QuotaDecision{
				Allowed: d.Allowed(), Known: d.Known(), RetryAfter: d.RetryAfter(), Detail: d.String(),
				Return: func() {
					if cicadaclock.SinceBoot()-at < cicadaratelimit.GrantLifetime { // an older token may have been granted again
						n.quotas.Return(customer)
					}
				},
			}
		},
	}
}

// decodeConfig decodes a configuration, or returns nil if it is invalid.
func (n *Node) decodeConfig(value []byte, revision int64) *cicadaview.Config {
	config, err := adapter.DecodeConfig(value)
	if err != nil {
		n.log.Error("invalid configuration ignored", "version", revision, "error", err)
		return nil
	}
	return config
}
