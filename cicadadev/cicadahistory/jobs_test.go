package cicadahistory

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

// noReturn is the return time of an operation whose outcome is unknown to its caller:
// it may take effect at any later time.
const noReturn = math.MaxInt64

// A jobInput is an operation on a job: submit, get or cancel.
type jobInput struct {
	verb string
	job  string
}

func (in jobInput) key() string { return in.job }

// A jobOutput is the outcome of a job operation as its caller saw it.
type jobOutput struct {
	outcomeUnknown bool
	notFound       bool
	status         string
	finishedItems  int64
}

// A jobState is the model's state of a job.
type jobState struct {
	exists        bool
	cancelled     bool
	finalStatus   string
	finishedItems int64
}

// jobModel is the sequential specification of a job: an accepted job does not
// disappear, its count of finished items does not decrease, a cancellation is not
// undone, and its final status does not change.
var jobModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return jobState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(jobState), input.(jobInput), output.(jobOutput)
		switch {
		case out.outcomeUnknown:
			s.exists = s.exists || in.verb == "submit"
			s.cancelled = s.cancelled || (in.verb == "cancel" && s.exists && s.finalStatus == "")
			return true, s
		case out.notFound:
			return !s.exists, s
		case in.verb == "submit":
			s.exists = true
		}
		return s.step(in, out)
	},
}

func (s jobState) step(in jobInput, out jobOutput) (bool, any) {
	if !s.exists || out.finishedItems < s.finishedItems {
		return false, s
	}
	if s.finalStatus != "" {
		return out.status == s.finalStatus && out.finishedItems == s.finishedItems, s
	}
	if in.verb == "cancel" && strings.HasPrefix(out.status, "cancel") {
		s.cancelled = true
	}
	if s.cancelled && out.status == "in_progress" || !s.cancelled && strings.HasPrefix(out.status, "cancel") {
		return false, s
	}
	s.finishedItems = out.finishedItems
	if out.status != "in_progress" && out.status != "cancelling" {
		s.finalStatus = out.status
	}
	return true, s
}

const (
	itemsPerInferenceJob = 10
	itemsPerServiceJob   = 6
)

func inferenceJobLines(job string) string {
	var lines strings.Builder
	for i := range itemsPerInferenceJob {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","body":{"model":"assistant","prompt":"%s-%d"}}`+"\n", job, i, job, i)
	}
	return lines.String()
}

func serviceJobLines(job string) string {
	var lines strings.Builder
	for i := range itemsPerServiceJob {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/services/ledger/orders","body":{"item":"%s-%d"}}`+"\n", job, i, job, i)
	}
	return lines.String()
}

// uploadJobs stores the input files and returns the body of a create request for
// each job.
func (sim *simulation) uploadJobs() map[string]string {
	files := cicadafile.New(cicadaplatform.NewClient(sim.memory.Backend()), sim.nonce)
	requests := make(map[string]string)
	for name, endpoint := range map[string]string{
		"cards-0": "/v1/completions", "cards-1": "/v1/completions", "stopped": "/v1/completions",
		"orders-0": "/services/ledger/orders",
	} {
		lines := inferenceJobLines(name)
		if strings.HasPrefix(name, "orders") {
			lines = serviceJobLines(name)
		}
		meta, err := files.Upload(context.Background(), "shop", name, "batch", strings.NewReader(lines))
		assert.NilError(sim.t, err)
		requests[name] = fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q}`, meta.GetId(), endpoint)
	}
	return requests
}

type batchResponse struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total, Completed, Failed int64
	} `json:"request_counts"`
}

// callJob sends a job operation and records its outcome.
func (sim *simulation) callJob(client int, verb, job, body, id string) (batchResponse, bool) {
	call := sim.logicalClock.Add(1)
	method, path := http.MethodPost, "/v1/batches"
	switch verb {
	case "get":
		method, path = http.MethodGet, "/v1/batches/"+id
	case "cancel":
		path = "/v1/batches/" + id + "/cancel"
	}
	var headers []string
	if verb == "submit" && sim.disabled.dedupe {
		headers = []string{"Idempotency-Key", fmt.Sprintf("%x", sim.nonce())}
	}
	rec, responded := sim.doRequest(sim.intn(numEntries), method, path, body, headers...)
	var response batchResponse
	out := jobOutput{outcomeUnknown: true}
	if responded && rec.Code == http.StatusOK {
		assert.NilError(sim.t, json.Unmarshal(rec.Body.Bytes(), &response))
		out = jobOutput{status: response.Status, finishedItems: response.Counts.Completed + response.Counts.Failed}
	} else if responded && rec.Code == http.StatusNotFound {
		out = jobOutput{notFound: true}
	}
	if out.outcomeUnknown {
		sim.recordUnreturned(client, jobInput{verb, job}, call, out)
	} else {
		sim.record(client, jobInput{verb, job}, call, out)
	}
	return response, !out.outcomeUnknown && !out.notFound
}

// recordUnreturned adds an operation with an unknown outcome to the history.
func (sim *simulation) recordUnreturned(client int, input any, call int64, output any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.history = append(sim.history, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: noReturn})
}

// runJobs has clients submit, resubmit, cancel and poll jobs at random entries
// while faults are injected, and then checks that every accepted item has exactly
// one result.
func runJobs(t *testing.T, seed uint64, disabled disabledSafeguards) error {
	sim := newSimulation(t, seed, disabled)
	defer sim.close()
	requests := sim.uploadJobs()
	clients := 0
	for job, body := range requests {
		clients++
		client := clients
		sim.tasks.Go(func() { sim.runJobClient(client, job, body) })
	}
	sim.injectFaults(60 * time.Second)
	sim.sleep(recoveryTime)
	for job, body := range requests {
		if err := sim.verifyJob(job, body); err != nil {
			return err
		}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return checkLinearizable(jobModel, sim.history)
}

func (sim *simulation) runJobClient(client int, job, body string) {
	id := ""
	for range 12 {
		sim.sleep(time.Duration(sim.intn(6000)) * time.Millisecond)
		verb := "get"
		switch {
		case id == "" || sim.percentChance(20):
			verb = "submit"
		case job == "stopped" && sim.percentChance(40):
			verb = "cancel"
		}
		response, known := sim.callJob(client, verb, job, body, id)
		if known && id == "" {
			id = response.ID
		}
	}
}

// verifyJob submits a job until the response shows that it has ended, and checks
// its results. Submitting a known job again returns its status.
func (sim *simulation) verifyJob(job, body string) error {
	var response batchResponse
	for range 120 {
		latest, known := sim.callJob(0, "submit", job, body, "")
		if known {
			response = latest
		}
		if known && response.Status != "in_progress" && response.Status != "cancelling" {
			break
		}
		sim.sleep(5 * time.Second)
	}
	if response.Status != "completed" && response.Status != "cancelled" {
		return fmt.Errorf("job %s has not ended: %+v", job, response)
	}
	if response.Status == "completed" && response.Counts.Completed+response.Counts.Failed != response.Counts.Total {
		return fmt.Errorf("job %s completed with missing items: %+v", job, response)
	}
	seen := make(map[string]int)
	for _, kind := range []string{"out", "err"} {
		rec, _ := sim.doRequest(0, http.MethodGet, "/v1/files/file-"+kind+"-"+response.ID+"/content", "")
		if rec.Code != http.StatusOK {
			return fmt.Errorf("get results of job %s: status %d", job, rec.Code)
		}
		if err := sim.checkResults(job, rec.Body.String(), seen); err != nil {
			return err
		}
	}
	if int64(len(seen)) != response.Counts.Completed+response.Counts.Failed {
		return fmt.Errorf("job %s has %d results, but reports %+v", job, len(seen), response)
	}
	return sim.checkItemRuns(job)
}

// checkResults checks that each result belongs to the job and that no item has
// two results, and counts the results of each item in seen.
func (sim *simulation) checkResults(job, text string, seen map[string]int) error {
	for line := range strings.Lines(text) {
		var result struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Run int `json:"run"`
				} `json:"body"`
			} `json:"response"`
			Error *struct{ Code string } `json:"error"`
		}
		if err := json.Unmarshal([]byte(line), &result); err != nil {
			return fmt.Errorf("job %s: result %q: %w", job, line, err)
		}
		seen[result.CustomID]++
		if seen[result.CustomID] > 1 || !strings.HasPrefix(result.CustomID, job+"-") {
			return fmt.Errorf("job %s: item %s has %d results", job, result.CustomID, seen[result.CustomID])
		}
		if result.Error != nil && result.Error.Code != "outcome-unknown" {
			return fmt.Errorf("job %s: item %s failed: %s", job, result.CustomID, result.Error.Code)
		}
	}
	return nil
}

// checkItemRuns checks that no non-idempotent item of a job ran twice.
func (sim *simulation) checkItemRuns(job string) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for body, runs := range sim.runs {
		if strings.Contains(body, `"item":"`+job) && runs > 1 {
			return fmt.Errorf("item %s ran %d times", body, runs)
		}
	}
	return nil
}

func TestHistoryJobs(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		assert.NilError(t, runJobs(t, seed, disabledSafeguards{}), "seed %d", seed)
	})
}

func TestHistoryJobsDetectMissingFence(t *testing.T) {
	requireViolation(t, disabledSafeguards{fence: true}, runJobs)
}

func TestHistoryJobsDetectMissingDedupe(t *testing.T) {
	requireViolation(t, disabledSafeguards{dedupe: true}, runJobs)
}
