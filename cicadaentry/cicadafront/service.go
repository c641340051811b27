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
	settleTimeout          = 5 * time.Second
	maxStoredResponseBytes = 512 << 10
	claimRetryDelay        = time.Second
)

// unforwardedHeaders are not forwarded to a service: the caller's credentials,
// and headers that concern a single connection.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
}

// callService serves a call to a plain service.
func (s *Server) callService(w http.ResponseWriter, r *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	data, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	path := ps.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	req, err := cicadacall.NewServiceRequest(s.snapshot(), customer, r.Method, ps.ByName("name"), path, forwardedHeaders(r.Header), data)
	if err != nil {
		return notRun(err)
	}
	if r.Header.Get(headerNonIdempotent) == "true" {
		req.Call.NonIdempotent = true
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return cicadaerror.New(cicadaerror.BadRequest, "%s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes).NotRun()
	}
	release, err := s.acquireQuota(r.Context(), w, customer)
	if err != nil {
		return err
	}
	defer release()
	req.Deadline = time.Now().Add(cicadacall.Deadline(s.snapshot()))
	service, _ := s.snapshot().Service(ps.ByName("name"))
	switch {
	case key != "" && service.ChecksKeys:
		req.Call.NonIdempotent = false
	case key != "" && req.Call.GetNonIdempotent():
		return s.runKeyed(w, r, req, key)
	}
	return s.streamService(w, r, req)
}

func forwardedHeaders(header http.Header) []*cicadawire.Header {
	var forwarded []*cicadawire.Header
	for name, values := range header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &cicadawire.Header{Name: name, Value: value})
		}
	}
	return forwarded
}

// streamService runs a call and streams the service's response to the caller.
func (s *Server) streamService(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request) error {
	control := http.NewResponseController(w)
	started := false
	_, err := s.Dispatcher.Run(r.Context(), req, func(chunk cicadadispatch.Chunk) error {
		if chunk.Head {
			started = true
			writeHead(w, chunk.Status, chunk.Headers)
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(chunk.Data); err != nil {
			return err
		}
		return control.Flush()
	})
	if err == nil {
		return nil
	}
	if started {
		abort(control)
		return &partialResponseError{err}
	}
	return err
}

func writeHead(w http.ResponseWriter, status int, headers []*cicadawire.Header) {
	for _, h := range headers {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(status)
}

// abort closes the connection of an incomplete response, so that the caller does
// not treat it as complete.
func abort(control *http.ResponseController) {
	if conn, _, err := control.Hijack(); err == nil {
		_ = conn.Close()
		return
	}
	panic(http.ErrAbortHandler)
}

// runKeyed runs a non-idempotent call with an idempotency key. A claim of the key is
// stored durably before the call is sent, and its outcome is recorded. A repeated call
// gets the recorded response.
func (s *Server) runKeyed(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, key string) error {
	claim := &cicadawire.ClaimRequest{
		Customer: req.Call.GetCustomer(),
		Key:      key,
		Digest:   callDigest(req.Call),
		Attempt:  fmt.Sprintf("%s-%016x", s.Name, rand.Uint64()),
		BudgetMs: time.Until(req.Deadline).Milliseconds(),
		Service:  req.Call.GetService(),
	}
	reply, err := s.Shards.Claim(r.Context(), claim)
	if err != nil {
		s.settle(claim, &cicadawire.SettleRequest{Outcome: cicadawire.Settlement_RELEASED})
		return cicadaerror.New(cicadaerror.Unavailable, "the call could not be claimed: %w", err).NotRun().RetryAfter(claimRetryDelay)
	}
	if reply.GetState() != cicadawire.ClaimState_GRANTED {
		return s.replay(w, reply)
	}
	req.Call.Key = claim.GetAttempt()
	return s.runClaimed(w, r, req, claim)
}

func callDigest(call *cicadawire.Call) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(call.GetService() + "\x00" + call.GetMethod() + "\x00" + call.GetPath() + "\x00")
	_, _ = hash.Write(call.GetBody())
	return hash.Sum64()
}

// replay responds to a call whose key has been claimed before.
func (s *Server) replay(w http.ResponseWriter, reply *cicadawire.ClaimReply) error {
	switch reply.GetState() {
	case cicadawire.ClaimState_SETTLED:
		if reply.GetStatus() == 0 {
			return cicadaerror.New(cicadaerror.Conflict, "the call has run, but its response was too large to be stored")
		}
		s.Scope.Counter("answers_replayed").Inc(1)
		w.Header().Set(headerReplayed, "true")
		writeHead(w, int(reply.GetStatus()), reply.GetHeaders())
		_, _ = w.Write(reply.GetBody())
		return nil
	case cicadawire.ClaimState_MISMATCH:
		return cicadaerror.New(cicadaerror.KeyReused, "this idempotency key was used for a different request")
	case cicadawire.ClaimState_IN_PROGRESS:
		return cicadaerror.New(cicadaerror.InProgress, "the call with this key is in progress").RetryAfter(claimRetryDelay)
	}
	return cicadaerror.New(cicadaerror.OutcomeUnknown, "the call with this key may have run, and its outcome is unknown")
}

// runClaimed runs a claimed call, buffers its response and records it before it
// responds to the caller. It does so even if the caller disconnects.
func (s *Server) runClaimed(w http.ResponseWriter, r *http.Request, req *cicadadispatch.Request, claim *cicadawire.ClaimRequest) error {
	response := cicadacall.NewResponse(s.Memory)
	defer response.Release()
	ctx := context.WithoutCancel(r.Context())
	_, err := s.Dispatcher.Run(ctx, req, response.Add)
	if err != nil {
		apiErr := cicadaerror.From(err)
		if apiErr.IsNotRun() {
			s.settle(claim, &cicadawire.SettleRequest{Outcome: cicadawire.Settlement_RELEASED})
		}
		return apiErr
	}
	settled := &cicadawire.SettleRequest{Outcome: cicadawire.Settlement_ANSWERED}
	if len(response.Text()) <= maxStoredResponseBytes {
		settled.Status, settled.Headers, settled.Body = int32(response.Status()), response.Headers(), response.Text()
	}
	s.settle(claim, settled)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Text())))
	writeHead(w, response.Status(), response.Headers())
	if _, err := w.Write(response.Text()); err != nil {
		return &partialResponseError{err}
	}
	return nil
}

// settle records the outcome of a claimed call. If that fails, the owner of the
// claim's shard queries the agents for the outcome after the deadline.
func (s *Server) settle(claim *cicadawire.ClaimRequest, settled *cicadawire.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	settled.Customer, settled.Key, settled.Attempt = claim.GetCustomer(), claim.GetKey(), claim.GetAttempt()
	if err := s.Shards.Settle(ctx, settled); err != nil {
		s.Scope.Counter("settlements_late").Inc(1)
	}
}
