package cicadareservation

import (
	"encoding/json"
	"net/url"

	"github.com/ansel1/merry/v2"

	adapter "cicadalink.example/platform"
)

// Prefix is the prefix of the objects that hold the ledgers.
const Prefix = adapter.OwnKindPrefix + "reservations/"

// objectName returns the name of a route's ledger. Names of routes are chosen by
// operators, so they are escaped.
func objectName(route string) string { return Prefix + url.PathEscape(route) }

// A reservation is the number of tokens that one owner may have waiting.
type reservation struct {
	Tokens int64 `json:"tokens"`
	// Renewal changes whenever the owner writes its reservation, so that other owners
	// can tell whether it is still in use.
	Renewal int64 `json:"renewal"`
}

// A ledger holds the reservations of one route, by owner.
type ledger struct {
	Reservations map[string]reservation `json:"reservations"`
	// Writer and Sequence make the value unique to its writer.
	Writer   string `json:"writer"`
	Sequence int64  `json:"sequence"`
}

func decodeLedger(value []byte) (ledger, error) {
	var l ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return ledger{}, merry.Errorf("decode ledger: %w", err)
	}
	return l, nil
}

func (l ledger) encode() ([]byte, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, merry.Errorf("encode ledger: %w", err)
	}
	return value, nil
}

// others returns the tokens reserved by all owners but the given one.
func (l ledger) others(owner string) int64 {
	total := int64(0)
	for name, r := range l.Reservations {
		if name != owner {
			total += r.Tokens
		}
	}
	return total
}

// with returns a copy in which an owner's reservation is replaced. A reservation of no
// tokens is removed.
func (l ledger) with(owner string, r reservation) ledger {
	next := ledger{Reservations: make(map[string]reservation, len(l.Reservations)+1)}
	for name, other := range l.Reservations {
		next.Reservations[name] = other
	}
	if r.Tokens > 0 {
		next.Reservations[owner] = r
	} else {
		delete(next.Reservations, owner)
	}
	return next
}

// headroomFraction is the fraction of the limit that an owner reserves beyond its need
// while less than half of the limit is reserved.
const headroomFraction = 1.0 / 16

// headroom returns how many tokens an owner may reserve beyond its need.
func headroom(limit, reserved int64) int64 {
	return max(0, min(int64(headroomFraction*float64(limit)), limit/2-reserved))
}
