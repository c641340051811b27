package cicadaplace

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

func hashOf(customer string) uint64 { return xxhash.Sum64String(customer) }

// Guards against customers that are charged for old work too long, or not at all after their
// accounts have been rescaled, when a process runs for long.
func TestWorkHalvesWithItsHalfLife(t *testing.T) {
	s, now := newWorkAccounts(), time.Now()
	for range 200 {
		s.charge(1, 1000, now)
		s.charge(2, 4000, now)
		assert.DeepEqual(t, s.busiest(8, now), []CustomerUsage{{2, 4000}, {1, 1000}})
		now = now.Add(workHalfLife)
		assert.DeepEqual(t, s.busiest(1, now), []CustomerUsage{{2, 2000}})
		now = now.Add(20 * workHalfLife)
		assert.Equal(t, len(s.busiest(8, now)), 0)
	}
	assert.Equal(t, len(s.byID), 0)
}

// Guards against memory that grows with the number of customers, and against a flooding customer
// that is forgotten because many others send requests.
func TestAccountsAreBounded(t *testing.T) {
	s, now := newWorkAccounts(), time.Now()
	s.charge(0, 1e6, now)
	for i := range uint64(5 * maxCustomers) {
		s.charge(i+1, 100, now)
		assert.Assert(t, len(s.byID) <= maxCustomers)
	}
	assert.DeepEqual(t, s.busiest(1, now), []CustomerUsage{{0, 1e6}})
}

// Guards against reports of peers that are counted twice, or for ever after the peer has failed.
func TestPeerUsageIsReplacedAndExpires(t *testing.T) {
	s, now := newWorkAccounts(), time.Now()
	share := func(id uint64) float64 { return math.Round(s.account(id, now).weightedWork() / s.scale(now)) }
	s.setPeer("a", []CustomerUsage{{1, 100}, {2, 50}}, now)
	s.setPeer("b", []CustomerUsage{{1, 30}}, now)
	assert.Equal(t, share(1), 130.0)
	s.setPeer("a", []CustomerUsage{{1, 200}, {1, 200}}, now)
	assert.Equal(t, share(1), 230.0)
	assert.Equal(t, share(2), 0.0)
	assert.Equal(t, len(s.busiest(8, now)), 0, "the work of peers must not be reported as that of this process")
	now = now.Add(peerTimeout / 2)
	s.setPeer("b", []CustomerUsage{{1, 30}}, now)
	now = now.Add(peerTimeout/2 + time.Millisecond)
	s.expire(now)
	assert.Equal(t, share(1), math.Round(30*math.Exp2(-(peerTimeout/2+time.Millisecond).Seconds()/workHalfLife.Seconds())))
	now = now.Add(peerTimeout)
	s.expire(now)
	s.busiest(8, now)
	assert.Equal(t, len(s.byID), 0)
}

// Guards against customers that state less work than their requests turn out to be, or that are
// charged for requests which no endpoint has run.
func TestWorkIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(1, 4))
		for _, c := range []struct{ stated, actual, want float64 }{
			{400, 400, 400 / 2},
			{400, 0, 0},
			{400, 100, 100 / 2},
			{400, 1000, 400/2 + 600},
			{0, math.NaN(), defaultWork / 2},
			{math.NaN(), -1, defaultWork / 2},
			{math.Inf(1), 0, 0},
			{-1, math.Inf(1), defaultWork/2 + maxRequestWork - defaultWork},
		} {
			name := fmt.Sprint(c)
			g, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: name, Work: c.stated})
			assert.NilError(t, err)
			time.Sleep(workHalfLife)
			g.RecordWork(c.actual)
			g.Release()
			got := 0.0
			for _, u := range table.LocalUsage(100) {
				if u.Customer == hashOf(name) {
					got = float64(u.Work)
				}
			}
			assert.Assert(t, math.Abs(got-c.want) <= 1, "%v: %v", c, got)
		}
	})
}

// Guards against messages that grow in deployments without customers.
func TestNoUsageIsReportedWithoutCustomers(t *testing.T) {
	table := NewTable("me")
	table.SetEndpoints(endpoints(1, 4))
	acquire(t, table, 0)
	assert.Equal(t, len(table.LocalUsage(8)), 0)
	_, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: "a"})
	assert.NilError(t, err)
	assert.Equal(t, len(table.LocalUsage(8)), 2)
}

// Guards against a customer that must leave slots idle because a peer that has ended reported many others.
func TestEndedPeersDoNotLowerTheFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(8, 8))
		var usage []CustomerUsage
		for i := range 20 {
			usage = append(usage, CustomerUsage{uint64(i), 1})
		}
		table.SetPeerUsage("ended", usage)
		time.Sleep(2 * peerTimeout)
		table.SetPeer("other", nil)
		for i := range 64 {
			time.Sleep(competingWorkInterval)
			_, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: string(rune('a' + i%2)), Work: 100})
			assert.NilError(t, err, "request %d", i)
		}
	})
}
