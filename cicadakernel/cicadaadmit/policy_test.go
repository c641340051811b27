package cicadaadmit

import (
	"testing"

	"pgregory.net/rapid"
)

func drawPolicy(t *rapid.T) Policy {
	slots := rapid.IntRange(1, 64).Draw(t, "slots")
	return Policy{
		Slots:        slots,
		BatchReserve: rapid.IntRange(0, slots-1).Draw(t, "reserve"),
		LongSlots:    rapid.IntRange(0, slots).Draw(t, "long"),
		OnlineWeight: rapid.Float64Range(0, 1).Draw(t, "weight"),
	}
}

func drawState(t *rapid.T, p Policy) State {
	online := rapid.IntRange(0, p.Slots).Draw(t, "online")
	batch := rapid.IntRange(0, p.Slots-online).Draw(t, "batch")
	return State{
		Online:        online,
		OnlineLong:    rapid.IntRange(0, online).Draw(t, "onlineLong"),
		Batch:         batch,
		Preemptible:   rapid.IntRange(0, batch).Draw(t, "preemptible"),
		OnlineWaiting: rapid.IntRange(0, 4).Draw(t, "waiting"),
	}
}

func TestBatchIsNotAdmittedWhileOnlineWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPolicy(t)
		s := drawState(t, p)
		if s.OnlineWaiting > 0 && p.AdmitBatch(s) == Admit {
			t.Fatalf("a batch item is admitted while an online request waits: %+v %+v", p, s)
		}
	})
}

func TestOnlineNeverWaitsBehindBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPolicy(t)
		s := drawState(t, p)
		s.Preemptible = s.Batch
		if s.Batch > 0 && p.AdmitOnline(s, false) == Wait {
			t.Fatalf("an online request waits while batch runs: %+v %+v", p, s)
		}
	})
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPolicy(t)
		s := drawState(t, p)
		if p.AdmitOnline(s, false) == Admit && s.Online+s.Batch+1 > p.Slots {
			t.Fatalf("an online request is admitted although all slots are in use: %+v %+v", p, s)
		}
		if p.AdmitBatch(s) == Admit && s.Online+s.Batch+1 > p.Slots {
			t.Fatalf("a batch item is admitted although all slots are in use: %+v %+v", p, s)
		}
	})
}

func TestBatchUsesIdleSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPolicy(t)
		p.OnlineWeight = 0
		s := drawState(t, p)
		s.OnlineWaiting = 0
		if s.Online+s.Batch < p.Slots-p.BatchReserve && p.AdmitBatch(s) != Admit {
			t.Fatalf("a slot is idle but no batch item is admitted: %+v %+v", p, s)
		}
	})
}

func TestLongRequestsAreLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPolicy(t)
		s := drawState(t, p)
		if p.LongSlots > 0 && s.OnlineLong >= p.LongSlots && p.AdmitOnline(s, true) != Wait {
			t.Fatalf("a long request is admitted above its limit: %+v %+v", p, s)
		}
	})
}
