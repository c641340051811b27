package cicadahistory

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaerror"
)

// An orderOutput is the outcome of a keyed order as its caller saw it.
type orderOutput struct {
	hasRun bool // the response contains a run
	run    int  // number of the run, from 1
	notRun bool // the response says that the order did not run
}

// orderModel is a write-once register per key: once a response contains a run, every
// later response for the key that contains a run must contain the same one.
var orderModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		out := output.(orderOutput)
		if !out.hasRun {
			return true, state
		}
		if state.(int) == 0 || state.(int) == out.run {
			return true, out.run
		}
		return false, state
	},
}

// partitionByKey partitions a history by the key of each input, or by the input
// itself if it is a string.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := fmt.Sprint(op.Input)
		if keyed, ok := op.Input.(interface{ key() string }); ok {
			key = keyed.key()
		}
		parts[key] = append(parts[key], op)
	}
	var all [][]porcupine.Operation
	for _, part := range parts {
		all = append(all, part)
	}
	return all
}

// runOrders has clients place keyed orders repeatedly at random entries while
// faults are injected, and checks their responses against the runs at the engines.
func runOrders(t *testing.T, seed uint64, disabled disabledSafeguards) error {
	const clients, calls, keys = 4, 10, 5
	sim := newSimulation(t, seed, disabled)
	defer sim.close()
	for client := range clients {
		sim.tasks.Go(func() {
			for range calls {
				sim.sleep(time.Duration(sim.intn(4000)) * time.Millisecond)
				sim.placeOrder(client, sim.intn(keys))
			}
		})
	}
	sim.injectFaults(40 * time.Second)
	sim.sleep(recoveryTime)
	for key := range keys {
		sim.placeOrder(clients, key)
	}
	return sim.checkOrders()
}

func orderBody(key int) string { return fmt.Sprintf(`{"order":%d}`, key) }

func (sim *simulation) placeOrder(client, key int) {
	body := orderBody(key)
	call := sim.logicalClock.Add(1)
	headers := []string{"Idempotency-Key", fmt.Sprint("order-", key)}
	if sim.disabled.claim {
		headers = nil
	}
	rec, responded := sim.doRequest(sim.intn(numEntries), http.MethodPost, "/services/ledger/orders", body, headers...)
	var out orderOutput
	if responded && rec.Code == http.StatusCreated {
		var response struct {
			Run int `json:"run"`
		}
		if json.Unmarshal(rec.Body.Bytes(), &response) == nil {
			out = orderOutput{hasRun: true, run: response.Run}
		}
	} else if responded {
		var failure cicadaerror.Body
		_ = json.Unmarshal(rec.Body.Bytes(), &failure)
		out.notRun = failure.Error.NotRun
	}
	sim.record(client, body, call, out)
}

// checkOrders checks that no order ran twice, that no order ran if every
// response for it said "not run", and that the responses agree.
func (sim *simulation) checkOrders() error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	allNotRun := make(map[string]bool)
	for _, op := range sim.history {
		body := op.Input.(string)
		if _, seen := allNotRun[body]; !seen {
			allNotRun[body] = true
		}
		allNotRun[body] = allNotRun[body] && op.Output.(orderOutput).notRun
	}
	for body, runs := range sim.runs {
		if runs > 1 {
			return fmt.Errorf("order %s ran %d times", body, runs)
		}
		if allNotRun[body] {
			return fmt.Errorf("order %s ran, but every response said that it did not", body)
		}
	}
	return checkLinearizable(orderModel, sim.history)
}

func TestHistoryOrders(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		assert.NilError(t, runOrders(t, seed, disabledSafeguards{}), "seed %d", seed)
	})
}

// requireViolation runs seeds until a checker reports a violation, and fails the
// test if none does.
func requireViolation(t *testing.T, disabled disabledSafeguards, run func(*testing.T, uint64, disabledSafeguards) error) {
	t.Parallel()
	const maxSeeds = 3000
	for seed := uint64(1); seed <= maxSeeds; seed++ {
		var violation error
		synctest.Test(t, func(t *testing.T) { violation = run(t, seed, disabled) })
		if violation != nil {
			t.Logf("seed %d: %v", seed, violation)
			return
		}
	}
	t.Fatalf("no violation in %d seeds with %+v", maxSeeds, disabled)
}

func TestHistoryOrdersDetectMissingClaim(t *testing.T) {
	requireViolation(t, disabledSafeguards{claim: true}, runOrders)
}

func TestHistoryOrdersDetectMissingFence(t *testing.T) {
	requireViolation(t, disabledSafeguards{fence: true}, runOrders)
}
