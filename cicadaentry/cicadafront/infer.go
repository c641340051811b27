package cicadafront

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"cicadalink.example/cicadaentry/cicadacall"
	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
)

// infer serves completions and chat completions, complete or streamed.
func (s *Server) infer(w http.ResponseWriter, r *http.Request, _ httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	data, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	req, body, err := cicadacall.NewInferenceRequest(s.snapshot(), customer, r.URL.Path, data)
	if err != nil {
		return notRun(err)
	}
	release, err := s.acquireQuota(r.Context(), w, customer)
	if err != nil {
		return err
	}
	defer release()
	req.Deadline = time.Now().Add(cicadacall.Deadline(s.snapshot()))
	prefix := "cmpl"
	if r.URL.Path == cicadacall.PathChat {
		prefix = "chatcmpl"
	}
	id := fmt.Sprintf("%s-%016x", prefix, rand.Uint64())
	if body.Stream {
		return s.respondStream(w, r, req, body, id)
	}
	return s.respondComplete(w, r, req, body, id)
}

// notRun marks an error of a request that was not sent to any endpoint.
func notRun(err error) error { return cicadaerror.From(err).NotRun() }

func (s *Server) respondComplete(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, body *cicadacall.InferenceBody, id string) error {
	response := cicadacall.NewResponse(s.Memory)
	defer response.Release()
	result, err := s.Dispatcher.Run(r.Context(), req, response.Add)
	if err != nil {
		return err
	}
	data, err := response.InferenceJSON(id, r.URL.Path, body.Model, time.Now(), result)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(data); err != nil {
		return &partialResponseError{err}
	}
	return nil
}

// respondStream sends a response as server-sent events. It does not buffer events
// for a caller that reads slowly, and aborts the response if a write takes longer
// than writeTimeout.
func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, body *cicadacall.InferenceBody, id string) error {
	events := cicadacall.NewStreamEncoder(id, r.URL.Path, body.Model, time.Now())
	writer := &eventWriter{w: w, control: http.NewResponseController(w)}
	result, err := s.Dispatcher.Run(r.Context(), req, func(chunk cicadadispatch.Chunk) error {
		return writer.write(events.Chunk(chunk))
	})
	if err == nil {
		err = writer.write(events.End(result, body.IncludeUsage()))
		if err != nil {
			return &partialResponseError{err}
		}
		return nil
	}
	if !writer.started {
		return err
	}
	_ = writer.write(events.ErrorEvent(err))
	return &partialResponseError{err}
}

// An eventWriter writes server-sent events and flushes after each. The first
// event starts the response.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

func (e *eventWriter) write(event []byte) error {
	if !e.started {
		e.started = true
		header := e.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		e.w.WriteHeader(http.StatusOK)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	return e.control.Flush()
}
