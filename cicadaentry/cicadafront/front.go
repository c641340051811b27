// Package cicadafront implements the HTTP API of an entry. For callers it has
// the usual inference API, with models, completions, chat completions, files and
// batches, and plain services below /services/. The API for operators is below
// /operator/.
//
// # Usage
//
//	api := cicadafront.New(deps)
//	server := &http.Server{Handler: api.Router()}
//
// Errors are JSON objects with a message, a type and a code, and report whether
// the request is known not to have run. Every response has the header
// X-Request-Id.
package cicadafront

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/julienschmidt/httprouter"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadaentry/cicadaquota"
	"cicadalink.example/cicadaentry/cicadashard"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	defaultMaxBodyBytes = 8 << 20
	// maxOperatorBodyBytes is the largest request body of an operator. It is not
	// configurable, because too small a value would keep operators from
	// correcting the configuration.
	maxOperatorBodyBytes = 8 << 20
	bodyReadTimeout      = time.Minute
	uploadTimeout        = 30 * time.Minute
	writeTimeout         = 30 * time.Second
	maxKeyBytes          = 256
)

// Headers of requests and responses.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "X-Non-Idempotent"
	headerReplayed       = "Idempotent-Replayed"
)

// Deps holds the dependencies of a Server.
type Deps struct {
	Name       string
	Fleet      *cicadafleet.Fleet
	Dispatcher *cicadadispatch.Dispatcher
	Limiter    *cicadaquota.Limiter
	Files      *cicadafile.Store
	Shards     *cicadashard.Manager
	Pool       *cicadawire.Pool
	Store      *cicadaplatform.Client
	// OperatorByHash returns the name of the operator whose key has a hash.
	OperatorByHash func(hash string) (string, bool)
	// MaxUpload is the largest size of an uploaded file, in bytes.
	MaxUpload int64
	// Memory is the budget for responses that are collected; nil if they are limited one by one only.
	Memory *cicadamemory.Budget
	// LocalStatus returns the status of this entry, as other entries report
	// theirs.
	LocalStatus func() *cicadawire.PeerReply
	Log         hclog.Logger
	Scope       tally.Scope
}

// A Server implements the HTTP API for callers and operators.
type Server struct {
	Deps
}

// New returns a Server.
func New(deps Deps) *Server { return &Server{Deps: deps} }

// A handler serves one route. An error that it returns is written as the
// response, unless the response has been started.
type handler func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) error

// A customerHandler is a handler for an authenticated customer.
type customerHandler func(w http.ResponseWriter, r *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error

// Router returns a router with the routes of both APIs.
func (s *Server) Router() *httprouter.Router {
	router := httprouter.New()
	router.HandleMethodNotAllowed = true
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cicadaerror.Write(w, cicadaerror.New(cicadaerror.NotFound, "no route %s %s", r.Method, r.URL.Path).NotRun())
	})
	router.GET("/v1/models", s.requireCustomer(s.listModels))
	router.GET("/v1/models/:model", s.requireCustomer(s.getModel))
	router.POST("/v1/completions", s.requireCustomer(s.infer))
	router.POST("/v1/chat/completions", s.requireCustomer(s.infer))
	router.POST("/v1/files", s.requireCustomer(s.uploadFile))
	router.GET("/v1/files", s.requireCustomer(s.listFiles))
	router.GET("/v1/files/:id", s.requireCustomer(s.getFile))
	router.DELETE("/v1/files/:id", s.requireCustomer(s.deleteFile))
	router.GET("/v1/files/:id/content", s.requireCustomer(s.fileContent))
	router.POST("/v1/batches", s.requireCustomer(s.createBatch))
	router.GET("/v1/batches", s.requireCustomer(s.listBatches))
	router.GET("/v1/batches/:id", s.requireCustomer(s.getBatch))
	router.POST("/v1/batches/:id/cancel", s.requireCustomer(s.cancelBatch))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:name/*path", s.requireCustomer(s.callService))
	}
	s.addOperatorRoutes(router)
	return router
}

// handle wraps a handler: it sets the request ID, writes errors, and counts
// responses.
func (s *Server) handle(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		id := r.Header.Get(headerRequestID)
		if id == "" || len(id) > maxKeyBytes {
			id = fmt.Sprintf("req-%016x", rand.Uint64())
		}
		w.Header().Set(headerRequestID, id)
		err := h(w, r, ps)
		if err == nil {
			s.Scope.Counter("answers_ok").Inc(1)
			return
		}
		var partial *partialResponseError
		if errors.As(err, &partial) {
			s.Scope.Counter("answers_cut").Inc(1)
			return
		}
		apiErr := cicadaerror.From(err)
		s.Scope.Tagged(map[string]string{"code": string(apiErr.Code())}).Counter("answers_refused").Inc(1)
		if apiErr.Code() == cicadaerror.Internal && r.Context().Err() == nil {
			s.Log.Error("request failed", "id", id, "path", r.URL.Path, "error", err)
		}
		cicadaerror.Write(w, apiErr)
	}
}

// A partialResponseError reports a failure after the response was started, when
// no error body can be written any more.
type partialResponseError struct{ cause error }

// Error returns the text of the cause with a prefix.
func (e *partialResponseError) Error() string {
	return "cicadafront: response aborted: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *partialResponseError) Unwrap() error { return e.cause }

// requireCustomer wraps a handler that requires the key of a customer that is not
// suspended.
func (s *Server) requireCustomer(h customerHandler) httprouter.Handle {
	return s.handle(func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) error {
		hash, ok := keyHash(r)
		if !ok {
			return cicadaerror.New(cicadaerror.Unauthorized, "the Authorization header has no bearer key").NotRun()
		}
		customer, ok := s.snapshot().CustomerByKey(hash)
		if !ok {
			return cicadaerror.New(cicadaerror.Unauthorized, "the key belongs to no customer").NotRun()
		}
		if customer.Suspended() {
			return cicadaerror.New(cicadaerror.Forbidden, "customer %s is suspended", customer.Name()).NotRun()
		}
		return h(w, r, ps, customer)
	})
}

// keyHash returns the hash of a request's bearer key. Keys themselves are neither
// stored nor logged.
func keyHash(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:]), true
}

func (s *Server) snapshot() *cicadaconfig.Snapshot { return s.Fleet.Config().Snapshot() }

// readBody reads a caller's request body up to the configured limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return readLimited(w, r, s.snapshot().Limits().MaxBody.Or(defaultMaxBodyBytes))
}

// readLimited reads a request's body up to a limit in bytes, within
// bodyReadTimeout.
func readLimited(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, cicadaerror.New(cicadaerror.TooLarge, "body is larger than %d bytes", limit).NotRun()
	}
	if err != nil {
		return nil, cicadaerror.New(cicadaerror.BadRequest, "the request body could not be read").NotRun()
	}
	return data, nil
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return &partialResponseError{err}
	}
	return nil
}

// acquireQuota applies the customer's rate and concurrency limits for online
// requests and sets the rate-limit headers. The function that it returns releases
// the request's concurrency.
func (s *Server) acquireQuota(ctx context.Context, w http.ResponseWriter, customer *cicadaconfig.ResolvedCustomer) (func(), error) {
	decision := s.Limiter.Acquire(ctx, customer)
	if decision.Limited() {
		header := w.Header()
		header.Set("X-Ratelimit-Limit", strconv.FormatInt(decision.Limit(), 10))
		header.Set("X-Ratelimit-Remaining", strconv.FormatInt(decision.Remaining(), 10))
		header.Set("X-Ratelimit-Reset", strconv.FormatInt(int64((decision.Reset()+time.Second-1)/time.Second), 10))
	}
	if !decision.Allowed() {
		return nil, cicadaerror.New(cicadaerror.RateLimited, "%s", decision.Reason()).NotRun().RetryAfter(max(decision.Reset(), time.Second))
	}
	return func() { s.Limiter.Release(customer) }, nil
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type listBody[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
}

func newModelBody(name string) modelBody {
	return modelBody{ID: name, Object: "model", OwnedBy: "cicadalink"}
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	list := listBody[modelBody]{Object: "list", Data: []modelBody{}}
	for _, model := range customer.Parameters().Models {
		if len(s.snapshot().GroupsByModel(model)) > 0 {
			list.Data = append(list.Data, newModelBody(model))
		}
	}
	return writeJSON(w, list)
}

func (s *Server) getModel(w http.ResponseWriter, _ *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	name := ps.ByName("model")
	if !customer.MayUseModel(name) || len(s.snapshot().GroupsByModel(name)) == 0 {
		return cicadaerror.New(cicadaerror.NotFound, "model %q not found", name)
	}
	return writeJSON(w, newModelBody(name))
}
