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

// infer serves completions and chat completions, whole or streamed.
func (f *Front) infer(w http.ResponseWriter, r *http.Request, _ httprouter.Params, account *cicadaconfig.Account) error {
	data, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	req, body, err := cicadacall.Inference(f.snapshot(), account, r.URL.Path, data)
	if err != nil {
		return notRun(err)
	}
	done, err := f.takeQuota(r.Context(), w, account)
	if err != nil {
		return err
	}
	defer done()
	req.Deadline = time.Now().Add(cicadacall.Deadline(f.snapshot()))
	prefix := "cmpl"
	if r.URL.Path == cicadacall.PathChat {
		prefix = "chatcmpl"
	}
	id := fmt.Sprintf("%s-%016x", prefix, rand.Uint64())
	if body.Stream {
		return f.stream(w, r, req, body, id)
	}
	return f.whole(w, r, req, body, id)
}

// notRun marks an error of a request that never left this entry.
func notRun(err error) error { return cicadaerror.From(err).NotRun() }

func (f *Front) whole(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, body *cicadacall.Body, id string) error {
	var answer cicadacall.Answer
	result, err := f.Dispatcher.Run(r.Context(), req, answer.Add)
	if err != nil {
		return err
	}
	data, err := answer.Inference(id, r.URL.Path, body.Model, time.Now(), result)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(data); err != nil {
		return &begunError{err}
	}
	return nil
}

// stream sends an answer as server-sent events. A caller that reads too slowly
// is cut off: nothing is kept for it but what the connection holds.
func (f *Front) stream(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, body *cicadacall.Body, id string) error {
	events := cicadacall.NewStream(id, r.URL.Path, body.Model, time.Now())
	out := &eventWriter{w: w, control: http.NewResponseController(w)}
	result, err := f.Dispatcher.Run(r.Context(), req, func(p cicadadispatch.Piece) error {
		return out.write(events.Piece(p))
	})
	if err == nil {
		err = out.write(events.End(result, body.IncludeUsage()))
		if err != nil {
			return &begunError{err}
		}
		return nil
	}
	if !out.begun {
		return err
	}
	_ = out.write(events.Failure(err))
	return &begunError{err}
}

// An eventWriter writes server-sent events and flushes each.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
}

func (e *eventWriter) write(event []byte) error {
	if !e.begun {
		e.begun = true
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		e.w.WriteHeader(http.StatusOK)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(writeStall))
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	return e.control.Flush()
}
