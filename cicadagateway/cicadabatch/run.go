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
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	// stallTime is how long an endpoint may be silent during a run before the
	// item goes on elsewhere.
	stallTime    = 2500 * time.Millisecond
	maxEventLine = 1 << 20 // bytes
)

// An outcome says how a run ended.
type outcome int

const (
	runComplete outcome = iota
	runNotRun           // the endpoint did not run the item
	runFull             // the endpoint had no room
	runFailed           // the endpoint answered that it failed
	runRejected         // the item can never be done
	runBroken           // the answer broke off
	runStopped          // this process ended the run
)

var outcomeNames = [...]string{"complete", "not-run", "full", "failed", "rejected", "broken", "stopped"}

func (o outcome) String() string { return outcomeNames[o] }

// A run is one run of an item at an endpoint. It collects what the endpoint puts
// out after the event from which it started.
type run struct {
	mu     sync.Mutex // guards text and last while the run goes on
	text   strings.Builder
	last   int
	begun  time.Duration // until the first event
	status int
}

// execute runs an item and returns how that ended. The run holds what is good of
// the output in each case.
func (x *run) execute(ctx context.Context, client *cicadaexchange.Client, q cicadaexchange.Request, e cicadaview.Endpoint) (outcome, error) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(stallTime, func() { cancel(errStalled) })
	defer stall.Stop()
	answer, err := client.Do(ctx, e.Address, q)
	if err != nil {
		return x.sendFailed(ctx, err)
	}
	defer answer.Close()
	x.status = answer.StatusCode
	if known, done := x.statusOutcome(answer); done {
		_, _ = io.Copy(io.Discard, answer)
		return known, merry.Errorf("status %d", answer.StatusCode)
	}
	x.begun = time.Since(start)
	err = x.read(answer, func() { stall.Reset(stallTime) })
	if err == nil {
		return runComplete, nil
	}
	return x.sendFailed(ctx, err)
}

var errStalled = merry.Sentinel("cicadabatch: endpoint silent")

func (x *run) sendFailed(ctx context.Context, err error) (outcome, error) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStalled):
		return runBroken, cause
	case cause != nil:
		return runStopped, err
	case errors.Is(err, cicadaexchange.ErrNotSent):
		return runNotRun, err
	}
	return runBroken, err
}

func (x *run) statusOutcome(answer *cicadaexchange.Answer) (outcome, bool) {
	switch {
	case answer.StatusCode == http.StatusMisdirectedRequest:
		return runNotRun, true
	case answer.Header.Get(adapter.HeaderNotRun) != "":
		return runFull, true
	case answer.Header.Get(adapter.HeaderProof) == "":
		return runBroken, true
	case answer.StatusCode == http.StatusUnprocessableEntity:
		return runRejected, true
	case answer.StatusCode != http.StatusOK:
		return runFailed, true
	}
	return runComplete, false
}

// read collects whole events until the end of the body.
func (x *run) read(body io.Reader, progress func()) error {
	lines := bufio.NewReaderSize(body, 4<<10)
	var event eventText
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			if len(line) > 0 || event.begun {
				return merry.Errorf("stream ends within an event: %w", cicadaexchange.ErrBroken)
			}
			return nil
		}
		if err != nil {
			return merry.Errorf("read events: %w", err)
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		if len(line) > 0 {
			event.add(line)
			continue
		}
		if err := x.take(&event); err != nil {
			return err
		}
		progress()
	}
}

// take appends an event that is next in order.
func (x *run) take(event *eventText) error {
	defer event.reset()
	if !event.begun || !event.hasData {
		return nil
	}
	if event.id != x.last+1 {
		return merry.Errorf("event %d after %d: %w", event.id, x.last, cicadaexchange.ErrBroken)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.last > 0 {
		x.text.WriteByte('\n')
	}
	x.text.Write(event.data)
	x.last = event.id
	return nil
}

// soFar returns what the run has put out, and its last event.
func (x *run) soFar() (text string, last int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.text.String(), x.last
}

// eventText is one event as its lines come.
type eventText struct {
	begun   bool
	hasData bool
	id      int
	data    []byte
}

func (e *eventText) reset() { *e = eventText{data: e.data[:0]} }

func (e *eventText) add(line []byte) {
	e.begun = true
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
