package cicadaratelimit

import "time"

// capacity returns the capacity of a bucket.
func (l *Limiter) capacity(limit Limit, share float64) float64 {
	return max((limit.Burst+l.slack/2)*share, 1)
}

// initialLevel returns the level of a bucket of an entry that has just become the home.
func (l *Limiter) initialLevel(limit Limit, share float64) float64 {
	return (l.slack/2 + initialBurstFraction*limit.Burst) * share
}

// updateHome brings a bucket up to date with the limit and with the share of this entry.
func (l *Limiter) updateHome(name string, h *homeBucket, limit Limit, now time.Time) {
	if now.After(h.standInUntil) {
		h.insteadOf = ""
	}
	if h.computedVersion != l.view.version || h.computedInsteadOf != h.insteadOf || h.computedShare == 0 {
		h.computedShare = l.view.share(name, h.insteadOf)
		h.computedVersion, h.computedInsteadOf = l.view.version, h.insteadOf
	}
	h.limit = limit
	before := h.share
	h.setShare(h.computedShare, now)
	switch {
	case before > 0 && h.share == 0:
		l.handOver(name, h, now)
	case h.share < before:
		h.burstShare, h.burstUntil = before, now.Add(settleTime)
	case h.share > h.initialShare:
		l.raiseInitial(h, now)
	}
	rate := limit.PerSecond * h.share
	if now.Before(h.refillFrom) && h.insteadOf == "" {
		rate = 0
	}
	h.bucket.SetLimit(now, rate, l.homeBurst(h, now))
}

// homeBurst returns the capacity of a bucket at its current share.
func (l *Limiter) homeBurst(h *homeBucket, now time.Time) float64 {
	if h.share == 0 {
		// Requests of entries that have not yet learned of the new home use the remaining tokens.
		if now.Sub(h.lostShareAt) > settleTime {
			return l.initialLevel(h.limit, 1)
		}
		return l.capacity(h.limit, 1)
	}
	burst := l.capacity(h.limit, h.share)
	if now.Before(h.burstUntil) {
		burst = max(burst, l.capacity(h.limit, h.burstShare))
	}
	return burst
}

// raiseInitial adds to the initial level of a new bucket whose share has risen since.
func (l *Limiter) raiseInitial(h *homeBucket, now time.Time) {
	added := l.initialLevel(h.limit, h.share-h.initialShare)
	if h.insteadOf != "" {
		added *= standInFraction
	}
	h.initialShare = h.share
	if now.Sub(h.becameHomeAt) < Window {
		h.bucket.Take(now, -added)
	}
}

// setShare sets the share, at once if it falls, or if the bucket stands in for a home that is
// not ready, and otherwise after settleTime.
func (h *homeBucket) setShare(share float64, now time.Time) {
	switch {
	case share == h.share:
		h.pendingShare = share
	case share < h.share || h.insteadOf != "":
		h.applyShare(share, now)
	case share != h.pendingShare:
		h.pendingShare, h.pendingAt = share, now.Add(settleTime)
	case !now.Before(h.pendingAt):
		h.applyShare(share, now)
	}
}

// applyShare puts a share into effect.
func (h *homeBucket) applyShare(share float64, now time.Time) {
	switch {
	case share == 0:
		h.lostShareAt = now
	case h.share == 0:
		h.becameHomeAt, h.granted, h.initialUsed, h.charged = now, 0, 0, 0
	}
	h.share, h.pendingShare = share, share
}

// handOver tells the new home of a customer how many initial tokens this entry has granted, if it
// became the home within the last window.
func (l *Limiter) handOver(name string, h *homeBucket, now time.Time) {
	home := l.view.home(name, "")
	if now.Sub(h.becameHomeAt) >= Window || h.initialUsed == 0 || home == l.self {
		return
	}
	l.log.Debug("customer handed over", "customer", name, "to", home, "initial-used", h.initialUsed)
	l.queue(home, Message{Request: &Request{Customer: name, Bucket: h.id, Spent: h.initialUsed}})
}
