// Package cicadafront serves callers and operators over HTTP. Callers find the
// usual inference API: models, completions, chat completions, files and
// batches, and plain services below /services/. Operators find theirs below
// /operator/.
//
// # Usage
//
//	front := cicadafront.New(deps)
//	server := &http.Server{Handler: front.Router()}
//
// Errors are JSON: message, type, code, and whether the request is known not
// to have run. Every answer carries X-Request-Id.
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
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	defaultMaxBody = 8 << 20
	// operatorBody is the largest body of an operator. It is not a limit of the
	// configuration, which could lock operators out.
	operatorBody = 8 << 20
	bodyTime     = time.Minute
	uploadTime   = 30 * time.Minute
	writeStall   = 30 * time.Second
	maxKeyLength = 256
)

// Headers of requests and answers.
const (
	headerRequestID     = "X-Request-Id"
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "X-Non-Idempotent"
	headerReplayed      = "Idempotent-Replayed"
)

// Deps are what a front works with.
type Deps struct {
	Name       string
	Fleet      *cicadafleet.Fleet
	Dispatcher *cicadadispatch.Dispatcher
	Limiter    *cicadaquota.Limiter
	Files      *cicadafile.Files
	Shards     *cicadashard.Manager
	Pool       *cicadawire.Pool
	Store      *cicadaplatform.Client
	// Operator returns the name of the operator that a key's hash belongs to.
	Operator func(hash string) (string, bool)
	// MaxUpload is the largest file in bytes.
	MaxUpload int64
	// Peer returns what this entry holds.
	Peer  func() *cicadawire.PeerReply
	Log   hclog.Logger
	Scope tally.Scope
}

// A Front serves callers and operators.
type Front struct {
	Deps
}

// New returns a front.
func New(deps Deps) *Front { return &Front{Deps: deps} }

// A handler serves one route. The error it returns is written as the answer
// unless the answer has begun.
type handler func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) error

// An accountHandler is a handler for an authenticated caller.
type accountHandler func(w http.ResponseWriter, r *http.Request, ps httprouter.Params, account *cicadaconfig.Account) error

// Router returns the routes.
func (f *Front) Router() *httprouter.Router {
	router := httprouter.New()
	router.HandleMethodNotAllowed = true
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cicadaerror.Write(w, cicadaerror.New(cicadaerror.NotFound, "no route %s %s", r.Method, r.URL.Path).NotRun())
	})
	router.GET("/v1/models", f.caller(f.listModels))
	router.GET("/v1/models/:model", f.caller(f.getModel))
	router.POST("/v1/completions", f.caller(f.infer))
	router.POST("/v1/chat/completions", f.caller(f.infer))
	router.POST("/v1/files", f.caller(f.uploadFile))
	router.GET("/v1/files", f.caller(f.listFiles))
	router.GET("/v1/files/:id", f.caller(f.getFile))
	router.DELETE("/v1/files/:id", f.caller(f.deleteFile))
	router.GET("/v1/files/:id/content", f.caller(f.fileContent))
	router.POST("/v1/batches", f.caller(f.createBatch))
	router.GET("/v1/batches", f.caller(f.listBatches))
	router.GET("/v1/batches/:id", f.caller(f.getBatch))
	router.POST("/v1/batches/:id/cancel", f.caller(f.cancelBatch))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:name/*path", f.caller(f.callService))
	}
	f.addOperatorRoutes(router)
	return router
}

// route wraps a handler: it sets the request id, writes errors, and counts.
func (f *Front) route(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		id := r.Header.Get(headerRequestID)
		if id == "" || len(id) > maxKeyLength {
			id = fmt.Sprintf("req-%016x", rand.Uint64())
		}
		w.Header().Set(headerRequestID, id)
		err := h(w, r, ps)
		if err == nil {
			f.Scope.Counter("answers_ok").Inc(1)
			return
		}
		var begun *begunError
		if errors.As(err, &begun) {
			f.Scope.Counter("answers_cut").Inc(1)
			return
		}
		known := cicadaerror.From(err)
		f.Scope.Tagged(map[string]string{"code": string(known.Code())}).Counter("answers_refused").Inc(1)
		if known.Code() == cicadaerror.Internal && r.Context().Err() == nil {
			f.Log.Error("request failed", "id", id, "path", r.URL.Path, "error", err)
		}
		cicadaerror.Write(w, known)
	}
}

// A begunError reports a failure after the answer has begun, so that no error
// body can be written.
type begunError struct{ err error }

// Error returns the cause.
func (e *begunError) Error() string { return "cicadafront: answer cut: " + e.err.Error() }

// Unwrap returns the cause.
func (e *begunError) Unwrap() error { return e.err }

// caller wraps a handler that needs a customer's key.
func (f *Front) caller(h accountHandler) httprouter.Handle {
	return f.route(func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) error {
		hash, ok := keyHash(r)
		if !ok {
			return cicadaerror.New(cicadaerror.Unauthorized, "a bearer key is missing").NotRun()
		}
		account, ok := f.snapshot().CustomerByKey(hash)
		if !ok {
			return cicadaerror.New(cicadaerror.Unauthorized, "the key is not known").NotRun()
		}
		if account.Suspended() {
			return cicadaerror.New(cicadaerror.Forbidden, "customer %s is suspended", account.Name()).NotRun()
		}
		return h(w, r, ps, account)
	})
}

// keyHash returns the hash of a request's bearer key. Keys themselves are
// neither kept nor logged.
func keyHash(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:]), true
}

func (f *Front) snapshot() *cicadaconfig.Snapshot { return f.Fleet.Config().Snapshot() }

// readBody reads a caller's body up to the limit in force.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return readUpTo(w, r, f.snapshot().Limits().MaxBody.Or(defaultMaxBody))
}

// readUpTo reads a request's body up to a limit, within a time.
func readUpTo(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, cicadaerror.New(cicadaerror.TooLarge, "body is larger than %d bytes", limit).NotRun()
	}
	if err != nil {
		return nil, cicadaerror.New(cicadaerror.BadRequest, "body could not be read").NotRun()
	}
	return data, nil
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return &begunError{err}
	}
	return nil
}

// takeQuota applies the customer's online limits and tells them in headers. The
// function it returns ends the request's part of them.
func (f *Front) takeQuota(ctx context.Context, w http.ResponseWriter, account *cicadaconfig.Account) (func(), error) {
	d := f.Limiter.Take(ctx, account)
	if d.Limited() {
		h := w.Header()
		h.Set("X-Ratelimit-Limit", strconv.FormatInt(d.Limit(), 10))
		h.Set("X-Ratelimit-Remaining", strconv.FormatInt(d.Remaining(), 10))
		h.Set("X-Ratelimit-Reset", strconv.FormatInt(int64((d.Reset()+time.Second-1)/time.Second), 10))
	}
	if !d.Allowed() {
		return nil, cicadaerror.New(cicadaerror.RateLimited, "%s", d.Reason()).NotRun().RetryAfter(max(d.Reset(), time.Second))
	}
	return func() { f.Limiter.Done(account) }, nil
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

func modelOf(name string) modelBody {
	return modelBody{ID: name, Object: "model", OwnedBy: "cicadalink"}
}

func (f *Front) listModels(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, account *cicadaconfig.Account) error {
	list := listBody[modelBody]{Object: "list", Data: []modelBody{}}
	for _, model := range account.Parameters().Models {
		if len(f.snapshot().GroupsOf(model)) > 0 {
			list.Data = append(list.Data, modelOf(model))
		}
	}
	return writeJSON(w, list)
}

func (f *Front) getModel(w http.ResponseWriter, _ *http.Request, ps httprouter.Params, account *cicadaconfig.Account) error {
	name := ps.ByName("model")
	if !account.MayUseModel(name) || len(f.snapshot().GroupsOf(name)) == 0 {
		return cicadaerror.New(cicadaerror.NotFound, "no model %q", name)
	}
	return writeJSON(w, modelOf(name))
}
