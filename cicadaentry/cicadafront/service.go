package cicadafront

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"cicadalink.example/cicadaentry/cicadacall"
	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	settleTime    = 5 * time.Second
	maxKeptAnswer = 512 << 10
	claimRetry    = time.Second
)

// droppedHeaders are not passed to a service.
var droppedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
}

// callService serves a call of a plain service.
func (f *Front) callService(w http.ResponseWriter, r *http.Request, ps httprouter.Params, account *cicadaconfig.Account) error {
	data, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	path := ps.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	req, err := cicadacall.Service(f.snapshot(), account, r.Method, ps.ByName("name"), path, passedHeaders(r.Header), data)
	if err != nil {
		return notRun(err)
	}
	if r.Header.Get(headerNonIdempotent) == "true" {
		req.Call.NonIdempotent = true
	}
	key := r.Header.Get(headerKey)
	if len(key) > maxKeyLength {
		return cicadaerror.New(cicadaerror.BadRequest, "%s is longer than %d bytes", headerKey, maxKeyLength).NotRun()
	}
	done, err := f.takeQuota(r.Context(), w, account)
	if err != nil {
		return err
	}
	defer done()
	req.Deadline = time.Now().Add(cicadacall.Deadline(f.snapshot()))
	service, _ := f.snapshot().Service(ps.ByName("name"))
	switch {
	case key != "" && service.ChecksKeys:
		req.Call.NonIdempotent = false
	case key != "" && req.Call.GetNonIdempotent():
		return f.runClaimed(w, r, req, key)
	}
	return f.passThrough(w, r, req)
}

func passedHeaders(h http.Header) []*cicadawire.Header {
	var passed []*cicadawire.Header
	for name, values := range h {
		if droppedHeaders[name] {
			continue
		}
		for _, value := range values {
			passed = append(passed, &cicadawire.Header{Name: name, Value: value})
		}
	}
	return passed
}

// passThrough streams a service's answer.
func (f *Front) passThrough(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request) error {
	control := http.NewResponseController(w)
	begun := false
	_, err := f.Dispatcher.Run(r.Context(), req, func(p cicadadispatch.Piece) error {
		if p.Head {
			begun = true
			writeHead(w, p.Status, p.Headers)
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeStall))
		if _, err := w.Write(p.Data); err != nil {
			return err
		}
		return control.Flush()
	})
	if err == nil {
		return nil
	}
	if begun {
		abort(control)
		return &begunError{err}
	}
	return err
}

func writeHead(w http.ResponseWriter, status int, headers []*cicadawire.Header) {
	for _, h := range headers {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(status)
}

// abort closes the connection of an answer that was cut, so that the caller
// cannot take it for whole.
func abort(control *http.ResponseController) {
	if conn, _, err := control.Hijack(); err == nil {
		_ = conn.Close()
		return
	}
	panic(http.ErrAbortHandler)
}

// runClaimed runs a keyed non-idempotent call: it is claimed durably before it
// is sent, and its outcome is recorded. A resend gets the recorded answer.
func (f *Front) runClaimed(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, key string) error {
	claim := &cicadawire.ClaimRequest{
		Customer: req.Call.GetCustomer(),
		Key:      key,
		Digest:   digest(req.Call),
		Attempt:  fmt.Sprintf("%s-%016x", f.Name, rand.Uint64()),
		BudgetMs: time.Until(req.Deadline).Milliseconds(),
		Service:  req.Call.GetService(),
	}
	reply, err := f.Shards.Claim(r.Context(), claim)
	if err != nil {
		f.settle(claim, &cicadawire.SettleRequest{Outcome: cicadawire.Settlement_RELEASED})
		return cicadaerror.New(cicadaerror.Unavailable, "the call could not be claimed: %w", err).NotRun().RetryAfter(claimRetry)
	}
	if reply.GetState() != cicadawire.ClaimState_GRANTED {
		return f.replay(w, reply)
	}
	req.Call.Key = claim.GetAttempt()
	return f.runOnce(w, r, req, claim)
}

func digest(call *cicadawire.Call) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(call.GetService() + "\x00" + call.GetMethod() + "\x00" + call.GetPath() + "\x00")
	_, _ = d.Write(call.GetBody())
	return d.Sum64()
}

// replay answers a call whose key is claimed already.
func (f *Front) replay(w http.ResponseWriter, reply *cicadawire.ClaimReply) error {
	switch reply.GetState() {
	case cicadawire.ClaimState_SETTLED:
		if reply.GetStatus() == 0 {
			return cicadaerror.New(cicadaerror.Conflict, "the call has run; its answer was too large to be kept")
		}
		f.Scope.Counter("answers_replayed").Inc(1)
		w.Header().Set(headerReplayed, "true")
		writeHead(w, int(reply.GetStatus()), reply.GetHeaders())
		_, _ = w.Write(reply.GetBody())
		return nil
	case cicadawire.ClaimState_MISMATCH:
		return cicadaerror.New(cicadaerror.KeyReused, "this idempotency key belongs to another request")
	case cicadawire.ClaimState_IN_PROGRESS:
		return cicadaerror.New(cicadaerror.InProgress, "the call with this key is in progress").RetryAfter(claimRetry)
	}
	return cicadaerror.New(cicadaerror.OutcomeUnknown, "the call with this key may have run, and its outcome is not known")
}

// runOnce runs a claimed call, collects its answer, records it, and only then
// answers the caller.
func (f *Front) runOnce(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, claim *cicadawire.ClaimRequest) error {
	var answer cicadacall.Answer
	ctx := context.WithoutCancel(r.Context())
	_, err := f.Dispatcher.Run(ctx, req, answer.Add)
	if err != nil {
		known := cicadaerror.From(err)
		if known.IsNotRun() {
			f.settle(claim, &cicadawire.SettleRequest{Outcome: cicadawire.Settlement_RELEASED})
		}
		return known
	}
	settled := &cicadawire.SettleRequest{Outcome: cicadawire.Settlement_ANSWERED}
	if len(answer.Text()) <= maxKeptAnswer {
		settled.Status, settled.Headers, settled.Body = int32(answer.Status()), answer.Headers(), answer.Text()
	}
	f.settle(claim, settled)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Text())))
	writeHead(w, answer.Status(), answer.Headers())
	if _, err := w.Write(answer.Text()); err != nil {
		return &begunError{err}
	}
	return nil
}

// settle records an outcome. When it cannot be recorded now, the claim's owner
// finds it out from the agents later.
func (f *Front) settle(claim *cicadawire.ClaimRequest, settled *cicadawire.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	settled.Customer, settled.Key, settled.Attempt = claim.GetCustomer(), claim.GetKey(), claim.GetAttempt()
	if err := f.Shards.Settle(ctx, settled); err != nil {
		f.Scope.Counter("settlements_late").Inc(1)
	}
}
