package cicadarelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
)

// maxResponseBody limits the body of a response that is not a stream, in bytes.
const maxResponseBody = 16 << 20

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// forwardResponse sends the response of an endpoint to the caller.
func (x *exchange) forwardResponse(ctx context.Context, res *cicadaexchange.Response, grant *cicadaplace.Grant) error {
	if x.route.Kind == cicadaview.Stream && res.StatusCode == http.StatusOK {
		return x.forwardStream(ctx, res, grant)
	}
	return x.forwardBuffered(res)
}

// sendHeader sends the response header, without a Content-Length if length is
// negative.
func (x *exchange) sendHeader(res *cicadaexchange.Response, length int) {
	x.headerSent = true
	h := x.w.Header()
	for name, values := range forwardedHeaders(res.Header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(res.StatusCode)
}

// forwardBuffered reads the complete response before it sends any of it, so that the
// request can be retried if the response is incomplete.
func (x *exchange) forwardBuffered(res *cicadaexchange.Response) error {
	body, err := res.ReadAll(maxResponseBody)
	if err != nil {
		return merry.Errorf("read response: %w", err)
	}
	defer body.Release()
	if body.Len() == 0 && !res.Framed() && res.StatusCode == http.StatusOK && x.r.Method != http.MethodHead {
		return merry.Errorf("connection closed before the body: %w", cicadaexchange.ErrInvalidResponse)
	}
	if res.StatusCode == http.StatusOK {
		x.sampler.Done()
	}
	x.stopTimer()
	x.sendHeader(res, body.Len())
	if _, err := body.WriteTo(x.w); err != nil {
		return merry.Errorf("write response: %w", err)
	}
	return nil
}

func (x *exchange) stopTimer() {
	if x.timer != nil {
		x.timer.Stop()
	}
}

// forwardStream sends events as they arrive. It sends only complete events, so that
// a broken stream can be resumed after the last one.
func (x *exchange) forwardStream(ctx context.Context, res *cicadaexchange.Response, grant *cicadaplace.Grant) (err error) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	x.events.reset()
	x.events.held = res.Memory().Reserve()
	defer func() {
		if err != nil {
			res.Close() // before others may use its memory
		}
		x.events.release()
	}()
	for {
		n, err := res.Read(*buffer)
		if n > 0 {
			events, err := x.events.add((*buffer)[:n])
			if err != nil {
				return merry.Errorf("event: %w: %w", cicadaexchange.ErrInvalidResponse, err)
			}
			if x.events.oversized {
				return merry.Errorf("event: %w: %w", cicadaexchange.ErrInvalidResponse, cicadaexchange.ErrTooLarge)
			}
			x.sampler.Events(countEvents(events))
			if err := x.forwardEvents(ctx, events, res, grant); err != nil {
				return err
			}
			if x.events.disordered {
				return x.disorderError()
			}
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(res)
		}
		if err != nil {
			return merry.Errorf("read events: %w", err)
		}
	}
}

// forwardEvents sends complete events to the caller.
func (x *exchange) forwardEvents(ctx context.Context, events []byte, res *cicadaexchange.Response, grant *cicadaplace.Grant) error {
	if len(events) == 0 {
		return nil
	}
	x.sampler.BeginWrite()
	defer x.sampler.EndWrite()
	if !x.answered {
		if err := x.recordOrigin(ctx, grant); err != nil {
			return err
		}
	}
	x.recordAnswer()
	x.stopTimer()
	if !x.headerSent {
		x.sendHeader(res, -1)
	}
	if _, err := x.w.Write(events); err != nil {
		return merry.Errorf("write events: %w", err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return merry.Errorf("flush events: %w", err)
	}
	return nil
}

// disorderError returns the error for an event that does not follow the last one.
func (x *exchange) disorderError() error {
	if !x.answered {
		return merry.Errorf("the events do not follow event %s: %w", x.events.lastID, errNotTheRest)
	}
	return merry.Errorf("event after event %s out of order: %w", x.events.lastID, cicadaexchange.ErrInvalidResponse)
}

// endStream completes a stream whose response was read to its end.
func (x *exchange) endStream(res *cicadaexchange.Response) error {
	if x.events.incomplete() {
		return merry.Errorf("stream ends within an event: %w", cicadaexchange.ErrInvalidResponse)
	}
	if x.events.lastID == "" && !x.answered && !res.Framed() {
		return merry.Errorf("connection closed before the first event: %w", cicadaexchange.ErrInvalidResponse)
	}
	if x.headerSent && !x.answered {
		x.emptyRests++
		if x.emptyRests < agreeingEmptyRests {
			return merry.Errorf("no event follows event %s: %w", x.events.lastID, errNotTheRest)
		}
	}
	if !x.headerSent {
		x.sendHeader(res, 0)
	}
	x.sampler.Done()
	return nil
}

// agreeingEmptyRests is how many endpoints must have sent no event as the rest of a stream
// before that is taken for its end. Usually an endpoint has one to send, as it is rare that
// only the end of a stream is lost.
const agreeingEmptyRests = 2
