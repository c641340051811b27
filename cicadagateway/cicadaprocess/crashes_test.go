package cicadaprocess

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadakernel/cicadasuspect"
)

const (
	testHeartbeat = 250 * time.Millisecond
	// testContactTime is the time within which a process that is in touch must know what
	// the others know.
	testContactTime = 3 * time.Second
)

// crashMessage returns what the next message to peers holds about crashes.
func (c *crashReports) crashMessage() cicadapeer.State {
	now := time.Now()
	return cicadapeer.State{CrashReports: c.nextReports(now), Quarantines: c.quarantines(now)}
}

// This guards against messages to peers that grow with the crashes until they fill the
// links of small VMs.
func TestCrashesDoNotFillLinks(t *testing.T) {
	const (
		linkBytes       = 30e6 / 8 // a second, of the smallest VM
		processes       = 94
		messageInterval = time.Second / 32 // between the messages of a process to one other
		crashes         = 25               // a second, on all endpoints
		requests        = 8                // broken by each crash, at different processes
		duration        = 30 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		empty := encodedSize(t, cicadapeer.State{})
		var all [processes]crashReports
		received, run := 0, 0
		start := time.Now()
		for ; time.Since(start) < duration; time.Sleep(messageInterval) {
			for ; run < int(time.Since(start).Seconds()*crashes*requests); run++ {
				all[run%processes].add(uint64(run)<<32, fmt.Sprint("i-1a7b0f2c0f ", run))
			}
			for i := range all {
				received += encodedSize(t, all[i].crashMessage()) - empty
			}
		}
		rate := float64(received) / time.Since(start).Seconds()
		assert.Assert(t, rate < linkBytes/10, "%.0f bytes a second", rate)
	})
}

func encodedSize(t *testing.T, s cicadapeer.State) int {
	message, err := cbor.Marshal(s)
	assert.NilError(t, err)
	return len(message)
}

// This guards against a process that was away while the reports of crashes were sent and
// then sends the requests to endpoints again.
func TestQuarantinesReachProcessesThatWereAway(t *testing.T) {
	const requests = 20
	synctest.Test(t, func(t *testing.T) {
		var here, away crashReports
		for i := range requests {
			for crash := range 2 {
				run := fmt.Sprint("endpoint-", crash, " request-", i)
				here.suspects.RecordCrash(uint64(i), run, time.Now())
				here.add(uint64(i), run)
			}
		}
		for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(testHeartbeat) {
			here.crashMessage()
		}
		for start := time.Now(); time.Since(start) < testContactTime; time.Sleep(testHeartbeat) {
			away.merge(here.crashMessage(), time.Now())
		}
		for i := range requests {
			assert.Equal(t, away.suspects.Status(uint64(i), time.Now(), cicadarelay.QuarantinePeriod), cicadasuspect.Quarantined, "request %d", i)
		}
	})
}

// A crash that two processes see makes a quarantine at each of them after one message.
func TestReportsOfTwoProcessesAddUp(t *testing.T) {
	var a, b crashReports
	now := time.Now()
	for i, c := range []*crashReports{&a, &b} {
		run := fmt.Sprint("endpoint-", i, " request")
		c.suspects.RecordCrash(7, run, now)
		c.add(7, run)
	}
	toB, toA := a.crashMessage(), b.crashMessage()
	a.merge(toA, now)
	b.merge(toB, now)
	for _, c := range []*crashReports{&a, &b} {
		assert.Equal(t, c.suspects.Status(7, now, cicadarelay.QuarantinePeriod), cicadasuspect.Quarantined)
	}
}

// Processes that tell each other of a quarantine do not renew it.
func TestQuarantinesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b crashReports
		a.suspects.RecordCrash(7, "endpoint-1", time.Now())
		a.suspects.RecordCrash(7, "endpoint-2", time.Now())
		for start := time.Now(); time.Since(start) < cicadarelay.QuarantinePeriod+testHeartbeat; time.Sleep(testHeartbeat) {
			toB := a.crashMessage()
			time.Sleep(20 * time.Millisecond)
			b.merge(toB, time.Now())
			a.merge(b.crashMessage(), time.Now())
		}
		for _, c := range []*crashReports{&a, &b} {
			assert.Equal(t, c.suspects.Status(7, time.Now(), cicadarelay.QuarantinePeriod), cicadasuspect.Normal)
		}
	})
}
