package cicadabatch

import (
	"context"
	"time"

	"cicadalink.example/cicadagateway/cicadareservation"
	"cicadalink.example/cicadakernel/cicadaview"
)

// waitingReportInterval is the interval at which an owner reports the waiting tokens of
// jobs that others have accepted.
const waitingReportInterval = 500 * time.Millisecond

// A report is not acknowledged, and an owner that has started anew knows none. Reports are
// therefore repeated for as long as the job is known, at intervals that double from
// minRepeatInterval to maxRepeatInterval.
const (
	minRepeatInterval = 5 * time.Second
	maxRepeatInterval = 30 * time.Second
)

// A WaitingTokens reports how many tokens of a job still wait. It is sent by the owner that
// runs the job, for owners on whose account the tokens wait.
type WaitingTokens struct {
	Job    string
	Tokens int64
}

// tokensUnknown is the value of job.reportedWaiting before any report.
const tokensUnknown = -1

// waitingTokens returns the tokens of a job's items that have no result yet. For a job that
// another owner runs, it is what that owner has reported, or all that is not known to be
// listed.
func (j *job) waitingTokens() int64 {
	if j.ended {
		return 0
	}
	tokens := int64(0)
	for _, it := range j.items {
		if it.state < itemFinished {
			tokens += int64(it.Tokens)
		}
	}
	if !j.owned && j.reportedWaiting != tokensUnknown {
		return min(tokens, j.reportedWaiting)
	}
	return tokens
}

// limitedRoute returns the route of a job if the route limits the tokens that wait.
func limitedRoute(config *cicadaview.Config, host, path string) (*cicadaview.Route, bool) {
	if config == nil {
		return nil, false
	}
	route, ok := config.Route(host, path)
	return route, ok && route.MaxWaitingTokens > 0
}

// accountName returns the name of the limiter's account for the waiting tokens of a customer on a
// route, or of all callers together if customer is empty.
func accountName(route *cicadaview.Route, customer string) string {
	if customer == "" {
		return route.Name
	}
	return route.Name + "." + customer
}

// updateWaiting tells the limiter how many tokens wait on limited routes, and reports to
// the other owners those of the jobs that this owner runs for them.
func (o *Owner) updateWaiting(now time.Time) {
	if o.limiter == nil || !o.jobsReceived {
		return
	}
	config := o.config()
	w := cicadareservation.Waiting{Own: make(map[string]map[string]int64), Others: make(map[string]map[string]int64)}
	var reports []WaitingTokens
	reporting := now.Sub(o.lastWaitingReport) >= waitingReportInterval
	repeating := reporting && now.Sub(o.lastWaitingRepeat) >= minRepeatInterval
	for id, j := range o.jobs {
		route, ok := limitedRoute(config, j.record.Host, j.record.Path)
		if !ok {
			continue
		}
		tokens, account := j.waitingTokens(), accountName(route, j.record.Customer)
		if j.record.SubmittedBy == o.name {
			addTokens(w.Own, account, id, tokens)
			continue
		}
		addTokens(w.Others, account, j.record.SubmittedBy, tokens)
		if reporting && j.owned && j.loaded && j.reportDue(tokens, repeating, now) {
			reports = append(reports, WaitingTokens{Job: id, Tokens: tokens})
		}
	}
	o.limiter.SetWaiting(w)
	if repeating {
		o.lastWaitingRepeat = now
	}
	if len(reports) > 0 {
		o.lastWaitingReport = now
		o.wg.Go(func() { o.sendWaiting(o.ctx, reports) })
	}
}

// reportDue reports whether the waiting tokens of a job of another owner's account must be reported,
// because they have changed or, if repeating is set, because the last report was long ago. It records
// that they are.
func (j *job) reportDue(tokens int64, repeating bool, now time.Time) bool {
	switch {
	case tokens != j.reportedWaiting:
		j.reportedWaiting, j.repeatAfter = tokens, minRepeatInterval
	case repeating && now.Sub(j.lastReport) >= j.repeatAfter:
		j.repeatAfter = min(max(2*j.repeatAfter, minRepeatInterval), maxRepeatInterval)
	default:
		return false
	}
	j.lastReport = now
	return true
}

func addTokens(byRoute map[string]map[string]int64, route, key string, tokens int64) {
	m := byRoute[route]
	if m == nil {
		m = make(map[string]int64)
		byRoute[route] = m
	}
	m[key] += tokens
}

// applyWaiting records the reports of an owner that runs jobs accepted elsewhere. Waiting
// tokens only decrease, so the lowest report of a job counts.
func (o *Owner) applyWaiting(reports []WaitingTokens) {
	for _, r := range reports {
		j := o.jobs[r.Job]
		if j == nil || j.owned {
			continue
		}
		if j.reportedWaiting == tokensUnknown || r.Tokens < j.reportedWaiting {
			j.reportedWaiting = r.Tokens
		}
	}
}

// reserve reserves the tokens of a submitted job if its route limits them. It returns the
// response with which the job must be refused, or nil.
func (o *Owner) reserve(ctx context.Context, c *Call, tokens int64) *Response {
	route, ok := limitedRoute(o.config(), c.Host, c.Path)
	if !ok || o.limiter == nil {
		return nil
	}
	decision, err := o.limiter.Reserve(ctx, accountName(route, c.Customer), c.Job, tokens, route.MaxWaitingTokens)
	if err != nil {
		o.log.Warn("failed to reserve tokens", "job", c.Job, "route", route.Name, "tokens", tokens, "error", err)
		resp := unavailable()
		return &resp
	}
	if decision.Granted() {
		return nil
	}
	o.metrics.jobsRefused.Inc(1)
	o.log.Info("job refused", "job", c.Job, "reason", "waiting-tokens", "route", route.Name, "customer", c.Customer, "tokens", tokens,
		"reserved", decision.Reserved(), "limit", route.MaxWaitingTokens, "retry-after", decision.RetryAfter().String())
	return &Response{Status: statusLimited, RetryAfter: decision.RetryAfter()}
}

// releaseTokens returns the tokens reserved for a job that this owner has not accepted.
func (o *Owner) releaseTokens(host, path, customer, id string) {
	if route, ok := limitedRoute(o.config(), host, path); ok && o.limiter != nil {
		o.limiter.Release(accountName(route, customer), id)
	}
}

// releaseDuplicate returns the tokens reserved for a submission if another owner has accepted the job
// and it became known while they were reserved. It reports whether one has. If the job becomes known
// later, applyJob returns them.
func (o *Owner) releaseDuplicate(c *Call) bool {
	j := o.jobs[c.Job]
	if j == nil || j.record.SubmittedBy == o.name {
		return false
	}
	o.releaseTokens(c.Host, c.Path, c.Customer, c.Job)
	return true
}
