package cicadaprocess

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
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

func newTestEvidence(name string) *crashEvidence {
	return newCrashEvidence(name, hclog.NewNullLogger(), tally.NoopScope, func() {})
}

// message returns what the next message to peers holds about crashes.
func (c *crashEvidence) message() (s cicadapeer.State) {
	c.addTo(&s, time.Now())
	return s
}

func (c *crashEvidence) status(request uint64) cicadasuspect.Status {
	return c.monitor.Requests().Status(request, time.Now(), cicadarelay.QuarantinePeriod)
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
		var all [processes]*crashEvidence
		for i := range all {
			all[i] = newTestEvidence(fmt.Sprint("process-", i))
		}
		received, run := 0, 0
		start := time.Now()
		for ; time.Since(start) < duration; time.Sleep(messageInterval) {
			for ; run < int(time.Since(start).Seconds()*crashes*requests); run++ {
				c := crash(uint64(run)<<32, uint64(run/requests)<<32)
				all[run%processes].monitor.RecordCrash(c, time.Now())
				c.Run, c.Lost, c.Parts = c.Run+1, false, []uint64{1 << 60, c.Request << 40, c.Request << 50}
				all[run%processes].monitor.RecordCrash(c, time.Now())
			}
			for i := range all {
				received += encodedSize(t, all[i].message()) - empty
			}
		}
		rate := float64(received) / time.Since(start).Seconds()
		assert.Assert(t, rate < linkBytes/10, "%.0f bytes a second", rate)
	})
}

// crash returns a report about a request.
func crash(request, endpoint uint64) cicadasuspect.Crash {
	return cicadasuspect.Crash{Request: request, Run: request<<20 ^ endpoint, Endpoint: endpoint, Lost: true}
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
		here, away := newTestEvidence("here"), newTestEvidence("away")
		for i := range uint64(requests) {
			here.monitor.RecordCrash(crash(i, 1), time.Now())
			here.monitor.RecordCrash(crash(i, 2), time.Now())
		}
		for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(testHeartbeat) {
			here.message()
		}
		for start := time.Now(); time.Since(start) < testContactTime; time.Sleep(testHeartbeat) {
			away.merge(here.message(), time.Now())
		}
		for i := range uint64(requests) {
			assert.Equal(t, away.status(i), cicadasuspect.Quarantined, "request %d", i)
		}
	})
}

// A crash that two processes see makes a quarantine at each of them after one message.
func TestReportsOfTwoProcessesAddUp(t *testing.T) {
	a, b := newTestEvidence("a"), newTestEvidence("b")
	a.monitor.RecordCrash(crash(7, 1), time.Now())
	b.monitor.RecordCrash(crash(7, 2), time.Now())
	toB, toA := a.message(), b.message()
	a.merge(toA, time.Now())
	b.merge(toB, time.Now())
	assert.Equal(t, a.status(7), cicadasuspect.Quarantined)
	assert.Equal(t, b.status(7), cicadasuspect.Quarantined)
}

// Processes that tell each other of a quarantine do not renew it.
func TestQuarantinesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTestEvidence("a"), newTestEvidence("b")
		a.monitor.RecordCrash(crash(7, 1), time.Now())
		a.monitor.RecordCrash(crash(7, 2), time.Now())
		for start := time.Now(); time.Since(start) < cicadarelay.QuarantinePeriod+testHeartbeat; time.Sleep(testHeartbeat) {
			toB := a.message()
			time.Sleep(20 * time.Millisecond)
			b.merge(toB, time.Now())
			a.merge(b.message(), time.Now())
		}
		assert.Equal(t, a.status(7), cicadasuspect.Normal)
		assert.Equal(t, b.status(7), cicadasuspect.Normal)
	})
}
