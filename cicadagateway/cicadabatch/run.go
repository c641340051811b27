package cicadabatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	// stallTimeout is how long an endpoint may send no event during a run before the
	// run is cancelled and the item resumes elsewhere.
	stallTimeout = 2500 * time.Millisecond
	// maxEventBytes limits the data and each line of one event, and maxOutputBytes the
	// output of an item, which is stored in one object.
	maxEventBytes  = 1 << 20
	maxOutputBytes = cicadaplatform.MaxValueSize
)

// An outcome is the way in which a run ended.
type outcome int

const (
	runComplete   outcome = iota
	runNotStarted         // the endpoint did not start the item
	runFull               // the endpoint had no free slot
	runFailed             // the endpoint reported a failure
	runRejected           // the endpoint rejected the item permanently
	runBroken             // the response stalled, was truncated or is not authentic
	runStopped            // this process cancelled the run
)

var outcomeNames = [...]string{"complete", "not-run", "full", "failed", "rejected", "broken", "stopped"}

func (o outcome) String() string { return outcomeNames[o] }

// A run is one attempt to run an item at an endpoint. If it resumes the item after an
// event, it collects only the output after that event.
type run struct {
	grant      *cicadaplace.Grant
	mu         sync.Mutex // guards output and lastEvent during the run
	output     strings.Builder
	firstEvent int // the id after which the run resumes the item, or 0
	lastEvent  int
	headerTime time.Duration // from the start to the response header
	status     int
	rateLimit  float64 // that the endpoint states, see onRateLimit
	// onRateLimit is called with the limit that the endpoint states in its response, in
	// requests a second, or 0.
	onRateLimit func(perSecond float64)
	onLeaving   func()                    // called if the endpoint states that it is leaving
	held        *cicadamemory.Reservation // memory of the output, and of the event that is received
}

// execute runs an item and returns the outcome. Whatever the outcome, the run holds
// all events that were received completely.
func (r *run) execute(ctx context.Context, client *cicadaexchange.Client, req cicadaexchange.Request, endpoint cicadaview.Endpoint) (outcome, error) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	sampler := r.startSampling(req.Header)
	resp, err := client.Do(ctx, endpoint.Address, req)
	if err != nil {
		return r.classifyError(ctx, err)
	}
	r.held = resp.Memory().Reserve()
	defer r.held.Release() // after resp.Close, before which others must not use the memory
	defer resp.Close()
	r.status = resp.StatusCode
	if r.grant != nil {
		r.grant.RecordStart(resp.StartedMs())
	}
	if limit, ok := adapter.StatedRateLimit(resp.StatusCode, resp.Header); ok && r.onRateLimit != nil {
		r.rateLimit = limit
		r.onRateLimit(limit)
	}
	if adapter.StatesLeaving(resp.StatusCode, resp.Header) && r.onLeaving != nil {
		r.onLeaving()
	}
	if result, done := r.statusOutcome(resp); done {
		if r.grant != nil && result == runFailed && resp.StatusCode >= http.StatusInternalServerError {
			r.grant.RecordErrorResponse()
		}
		resp.Discard()
		return result, merry.Errorf("status %d", resp.StatusCode)
	}
	r.headerTime = time.Since(start)
	err = r.readEvents(resp, func() {
		stallTimer.Reset(stallTimeout)
		sampler.Events(1)
	})
	if err == nil && r.lastEvent == 0 && !resp.Framed() {
		err = merry.Errorf("connection closed before the first event: %w", cicadaexchange.ErrInvalidResponse)
	}
	if err == nil {
		sampler.Done()
		return runComplete, nil
	}
	return r.classifyError(ctx, err)
}

// startSampling begins to measure how fast the endpoint runs the item. It returns nil for a run that
// resumes the item, whose times are not typical.
func (r *run) startSampling(header http.Header) *cicadaplace.Sampler {
	if r.grant == nil || r.firstEvent > 0 {
		return nil
	}
	return r.grant.StartSampling(true, adapter.PromptTokens(header))
}

var errStalled = merry.Sentinel("cicadabatch: no event from the endpoint")

// classifyError returns the outcome of a run that ended with an error.
func (r *run) classifyError(ctx context.Context, err error) (outcome, error) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStalled):
		return runBroken, cause
	case cause != nil:
		return runStopped, err
	case errors.Is(err, cicadaexchange.ErrNotSent):
		return runNotStarted, err
	}
	return runBroken, err
}

// statusOutcome returns the outcome that follows from a response's status and headers.
// It reports false if the outcome depends on the body.
func (r *run) statusOutcome(resp *cicadaexchange.Response) (outcome, bool) {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return runNotStarted, true
	case resp.Header.Get(adapter.HeaderNotRun) != "":
		return runFull, true
	case resp.Header.Get(adapter.HeaderSignature) == "":
		return runBroken, true
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return runRejected, true
	case resp.StatusCode != http.StatusOK:
		return runFailed, true
	}
	return runComplete, false
}

// readEvents appends complete events until the end of the body and calls onEvent after
// each. Bytes that complete no event are no progress.
func (r *run) readEvents(body io.Reader, onEvent func()) error {
	lines := bufio.NewReaderSize(body, lineBufferSize)
	var event sseEvent
	for {
		line, err := r.readLine(lines, &event)
		if errors.Is(err, io.EOF) {
			if len(line) > 0 || event.started {
				return merry.Errorf("stream ends within an event: %w", cicadaexchange.ErrInvalidResponse)
			}
			return nil
		}
		if err != nil {
			return merry.Errorf("read events: %w", err)
		}
		if err := r.reserve(len(line), &event); err != nil {
			return err
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		if len(line) > 0 {
			if event.addLine(line); len(event.data) > maxEventBytes {
				return merry.Errorf("read event: %w: %w", cicadaexchange.ErrInvalidResponse, cicadaexchange.ErrTooLarge)
			}
			continue
		}
		appended, err := r.appendEvent(&event)
		if err != nil {
			return err
		}
		if appended {
			onEvent()
		}
	}
}

// lineBufferSize is the size of most lines or more; longer ones are copied.
const lineBufferSize = 4 << 10

// bufferGrowth is how many times its bytes a buffer that grows may take in memory.
const bufferGrowth = 2

// reserve reserves the memory of the output, of an event and of a line with n bytes.
func (r *run) reserve(n int, event *sseEvent) error {
	if err := r.held.Resize(int64(bufferGrowth * (r.output.Len() + len(event.data) + n))); err != nil {
		return merry.Errorf("read event: %w: %w", cicadaexchange.ErrInvalidResponse, err)
	}
	return nil
}

// readLine reads a line of an event with its newline, of up to maxEventBytes. The line is valid
// until the next call.
func (r *run) readLine(lines *bufio.Reader, event *sseEvent) ([]byte, error) {
	line, err := lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxEventBytes {
			return nil, merry.Errorf("line: %w: %w", cicadaexchange.ErrInvalidResponse, cicadaexchange.ErrTooLarge)
		}
		if err := r.reserve(len(long)+lineBufferSize, event); err != nil {
			return nil, err
		}
		line, err = lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// appendEvent appends an event, which must be the next in order. Events without data
// are ignored. It reports whether the event was appended.
func (r *run) appendEvent(event *sseEvent) (bool, error) {
	defer event.reset()
	if !event.started || !event.hasData {
		return false, nil
	}
	if event.id != r.lastEvent+1 {
		return false, merry.Errorf("event %d follows event %d: %w", event.id, r.lastEvent, cicadaexchange.ErrInvalidResponse)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastEvent > 0 {
		r.output.WriteByte('\n')
	}
	if r.output.Len()+len(event.data) > maxOutputBytes {
		return false, merry.Errorf("output: %w: %w", cicadaexchange.ErrInvalidResponse, cicadaexchange.ErrTooLarge)
	}
	r.output.Write(event.data)
	r.lastEvent = event.id
	return true, nil
}

// agreeingEmptyRests is how many runs must have brought no event of an item that they resumed
// before that is taken for the end of its output. It is rare that only the end of a run is
// lost.
const agreeingEmptyRests = 2

// confirmEnd reports whether a run that ended without an error has completed the item.
func (it *item) confirmEnd(r *run) bool {
	if r.firstEvent == 0 || r.lastEvent > r.firstEvent {
		return true
	}
	it.emptyRests++
	return it.emptyRests >= agreeingEmptyRests
}

// snapshot returns the run's output so far and the id of its last event.
func (r *run) snapshot() (text string, last int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.output.String(), r.lastEvent
}

// sseEvent is a server-sent event, assembled line by line.
type sseEvent struct {
	started bool
	hasData bool
	id      int
	data    []byte
}

// reset prepares for the next event. The memory of a long event is not kept for it.
func (e *sseEvent) reset() {
	data := e.data[:0]
	if cap(data) > lineBufferSize {
		data = nil
	}
	*e = sseEvent{data: data}
}

func (e *sseEvent) addLine(line []byte) {
	e.started = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id, _ = strconv.Atoi(string(value))
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.hasData = true
		e.data = append(e.data, value...)
	}
}
