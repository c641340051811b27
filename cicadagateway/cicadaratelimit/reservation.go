package cicadaratelimit

import (
	"slices"
	"time"
)

// A reservation is a token kept for an entry that got none.
type reservation struct {
	entry string
	at    time.Time
}

// reservationsAhead returns the number of entries for which a token is reserved before one for the
// given entry.
func (h *homeBucket) reservationsAhead(entry string, now time.Time) int {
	h.reservations = slices.DeleteFunc(h.reservations, func(r reservation) bool { return now.Sub(r.at) > reservationTime })
	if i := slices.IndexFunc(h.reservations, func(r reservation) bool { return r.entry == entry }); i >= 0 {
		return i
	}
	return len(h.reservations)
}

// updateReservations adds, renews or removes an entry's reservation after a grant of tokens.
func (h *homeBucket) updateReservations(entry string, tokens int64, now time.Time) {
	i := slices.IndexFunc(h.reservations, func(r reservation) bool { return r.entry == entry })
	switch {
	case tokens > 0 && i >= 0:
		h.reservations = slices.Delete(h.reservations, i, i+1)
	case tokens > 0:
	case i >= 0:
		h.reservations[i].at = now
	case len(h.reservations) < maxReservations:
		h.reservations = append(h.reservations, reservation{entry, now})
	}
}
