package cicadapeer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// confirming returns the other members whose rosters hold the named member and do so for some
// time.
func (n *testNetwork) confirming(name string) []string {
	var names []string
	for _, v := range n.groups[name].OwnerViews() {
		if v.Since != 0 && time.Now().Before(v.ValidUntil) {
			names = append(names, v.Owner)
		}
	}
	return names
}

// TestMemberIsNotConfirmedByOldMessages guards against a member that trusts what others told it
// before it was suspended or cut off, although they have since taken it for failed.
func TestMemberIsNotConfirmedByOldMessages(t *testing.T) {
	all := []string{"b", "c"}
	for name, leave := range map[string]func(n *testNetwork, left bool){
		"suspended": func(n *testNetwork, left bool) { n.suspended["a"] = left },
		"cut off": func(n *testNetwork, left bool) {
			for _, other := range all {
				n.blocked[[2]string{"a", other}], n.blocked[[2]string{other, "a"}] = left, left
			}
		},
		"not heard": func(n *testNetwork, left bool) {
			for _, other := range all {
				n.blocked[[2]string{"a", other}] = left
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newTestNetwork("a", "b", "c")
				for range 8 {
					n.exchange(1)
				}
				assert.DeepEqual(t, n.confirming("a"), all)
				leave(n, true)
				for range 16 {
					n.exchange(1)
				}
				assert.Equal(t, len(n.confirming("a")), 0)
				assert.DeepEqual(t, n.confirming("b"), []string{"c"})
				leave(n, false)
				assert.Equal(t, len(n.confirming("a")), 0, "before any message of the others")
				for range 8 {
					n.exchange(1)
				}
				assert.DeepEqual(t, n.confirming("a"), all)
			})
		})
	}
}

// TestConfirmationEndsBeforeRemovalFromRoster guards against a member that still counts on
// another that has already taken it for failed.
func TestConfirmationEndsBeforeRemovalFromRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork("a", "b")
		for range 8 {
			n.exchange(1)
		}
		n.blocked[[2]string{"a", "b"}] = true
		for range 40 {
			n.exchange(1)
			if len(n.confirming("a")) > 0 {
				assert.DeepEqual(t, n.live("b"), []string{"a"})
			}
		}
		assert.Equal(t, len(n.live("b")), 0)
	})
}

// TestEarlierIncarnationIsNotConfirmed guards against a restarted member that takes what was said
// of its predecessor for its own.
func TestEarlierIncarnationIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork("a", "b")
		for range 8 {
			n.exchange(1)
		}
		n.groups["a"].incarnation = 2
		assert.Equal(t, len(n.confirming("a")), 0)
		n.exchange(1)
		n.exchange(1)
		assert.DeepEqual(t, n.confirming("a"), []string{"b"})
	})
}

// TestOwnerOnlyOthersHaveHeardOf guards against a member that counts on all owners that it knows
// while there is another.
func TestOwnerOnlyOthersHaveHeardOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork("a", "b")
		n.exchange(1)
		n.groups["b"].members["c"] = &memberState{state: State{Member: Member{Name: "c", Role: RoleOwner}}, lastSeen: time.Now(), live: true}
		n.exchange(1)
		var unheard []OwnerView
		for _, v := range n.groups["a"].OwnerViews() {
			if v.Owner == "c" {
				unheard = append(unheard, v)
			}
		}
		assert.DeepEqual(t, unheard, []OwnerView{{Owner: "c", RunsJobs: true}})
	})
}

// TestSuspensionWithoutMonotonicTime guards against a member that trusts what others told it before
// its VM was suspended, because its monotonic clock stood still meanwhile.
func TestSuspensionWithoutMonotonicTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork("a", "b")
		for range 8 {
			n.exchange(1)
		}
		assert.DeepEqual(t, n.confirming("a"), []string{"b"})
		n.groups["a"].clockLead -= 4 * time.Second
		assert.Equal(t, len(n.confirming("a")), 0)
		n.exchange(1)
		n.exchange(1)
		assert.DeepEqual(t, n.confirming("a"), []string{"b"})
	})
}

// TestRosterIsSentSeldom guards against states that grow with the number of owners, which are sent
// to all members many times a second.
func TestRosterIsSentSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestNetwork("a").groups["a"]
		roster := []RosterEntry{{Name: "a", Since: 1}, {Name: "b", Since: 2}}
		sent := 0
		for range 100 {
			if g.stamp(State{Roster: roster}, time.Now()).Roster != nil {
				sent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, sent, 5)
		changed := []RosterEntry{{Name: "a", Since: 1}}
		assert.Equal(t, len(g.stamp(State{Roster: changed}, time.Now()).Roster), 1, "a change is sent at once")
	})
}

// TestRosterIsKeptBetweenMessages guards against a member that forgets a roster with the next
// message that has none, or takes that of an earlier incarnation for current.
func TestRosterIsKeptBetweenMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestNetwork("a").groups["a"]
		state := State{Member: Member{Name: "b", Role: RoleOwner, Address: "127.0.0.1:1"}, Incarnation: 1, Sequence: 1, Roster: []RosterEntry{{Name: "a", Since: 7}}}
		g.applyState(state, true)
		state.Sequence, state.Roster = 2, nil
		g.applyState(state, true)
		assert.Equal(t, g.OwnerViews()[0].Since, uint64(7))
		state.Incarnation, state.Sequence = 2, 1
		g.applyState(state, true)
		assert.Equal(t, g.OwnerViews()[0].Since, uint64(0))
	})
}
