package cicadaplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/julienschmidt/httprouter"

	"cicadalink.example/cicadakernel/cicadamemory"
)

const (
	// httpIdleTimeout is how long an idle connection to the store is kept.
	httpIdleTimeout = 90 * time.Second
	// httpWatchMargin is added to watchTimeout for the network and the store.
	httpWatchMargin = 2 * time.Second
	// httpCheckPath names no object. It is read by health checks.
	httpCheckPath = "/objects/probe"
	// noWait is the value of the parameter wait of a watch that does not wait for a change.
	noWait = "0"
)

func init() {
	Adapters.Register("http", openHTTP)
}

// Open returns a backend for a platform address such as http://127.0.0.1:7000.
// The URL scheme selects the adapter.
func Open(address string, opts ...OpenOption) (Backend, error) {
	scheme, _, ok := strings.Cut(address, "://")
	if !ok {
		return Backend{}, merry.Errorf("platform address %q has no scheme", address)
	}
	open, err := Adapters.Lookup(scheme)
	if err != nil {
		return Backend{}, merry.Errorf("platform address %q: %w", address, err)
	}
	backend, err := open(address)
	if err != nil {
		return Backend{}, err
	}
	for _, opt := range opts {
		opt(&backend)
	}
	return backend, nil
}

// An OpenOption configures the backend that Open returns.
type OpenOption func(*Backend)

// WithMemory sets the budget for what the store sends. The default is one of the default size.
func WithMemory(memory *cicadamemory.Budget) OpenOption {
	return func(b *Backend) {
		if b.SetMemory != nil {
			b.SetMemory(memory)
		}
	}
}

type objectBody struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

type pageBody struct {
	Objects []objectBody `json:"objects"`
	Version int64        `json:"version"`
	More    bool         `json:"more"`
}

type errorBody struct {
	Error string `json:"error"`
}

func (o objectBody) object() Object { return NewObject(o.Name, o.Version, o.Value) }

func newObjectBody(o Object) objectBody {
	return objectBody{Name: o.name, Version: o.version, Value: o.value}
}

// errorCodes maps errors to the codes and HTTP statuses of the API.
var errorCodes = []struct {
	code   string
	err    error
	status int
}{
	{"not-found", ErrNotFound, http.StatusNotFound},
	{"exists", ErrExists, http.StatusConflict},
	{"conflict", ErrConflict, http.StatusPreconditionFailed},
	{"too-large", ErrTooLarge, http.StatusRequestEntityTooLarge},
	{"unavailable", ErrUnavailable, http.StatusServiceUnavailable},
	{"in-doubt", ErrInDoubt, http.StatusGatewayTimeout},
}

// Handler returns an HTTP handler that serves a backend to clients that use the
// http adapter.
func Handler(b Backend) http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/objects", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Has("watch") {
			from, _ := strconv.ParseInt(q.Get("watch"), 10, 64)
			read := b.Watch
			if q.Get("wait") == noWait {
				read = b.Changes
			}
			page, err := read(r.Context(), q.Get("prefix"), from)
			writeResponse(w, newPageBody(page), err)
			return
		}
		limit, _ := strconv.Atoi(q.Get("limit"))
		page, err := b.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		writeResponse(w, newPageBody(page), err)
	})
	router.GET("/objects/*name", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		obj, err := b.Get(r.Context(), objectName(ps))
		writeResponse(w, newObjectBody(obj), err)
	})
	router.PUT("/objects/*name", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize+1))
		if err != nil {
			writeResponse(w, nil, ErrTooLarge)
			return
		}
		obj, err := put(r.Context(), b, objectName(ps), r.Header.Get("If-Match"), value)
		writeResponse(w, objectBody{Name: obj.name, Version: obj.version}, err)
	})
	router.DELETE("/objects/*name", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		version, _ := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
		writeResponse(w, struct{}{}, b.Delete(r.Context(), objectName(ps), version))
	})
	router.HandlerFunc(http.MethodGet, "/vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := b.VMs(r.Context())
		writeResponse(w, vms, err)
	})
	return router
}

func objectName(ps httprouter.Params) string { return strings.TrimPrefix(ps.ByName("name"), "/") }

func put(ctx context.Context, b Backend, name, ifMatch string, value []byte) (Object, error) {
	if ifMatch == "" {
		return b.Create(ctx, name, value)
	}
	version, err := strconv.ParseInt(ifMatch, 10, 64)
	if err != nil {
		return Object{}, merry.Errorf("If-Match %q: %w", ifMatch, ErrConflict)
	}
	return b.Update(ctx, name, version, value)
}

func newPageBody(p Page) pageBody {
	body := pageBody{Version: p.version, More: p.more, Objects: make([]objectBody, len(p.objects))}
	for i, obj := range p.objects {
		body.Objects[i] = newObjectBody(obj)
	}
	return body
}

func writeResponse(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(v)
		return
	}
	for _, entry := range errorCodes {
		if errors.Is(err, entry.err) {
			w.WriteHeader(entry.status)
			_ = json.NewEncoder(w).Encode(errorBody{Error: entry.code})
			return
		}
	}
	// The effect of a call that failed with any other error is unknown.
	w.WriteHeader(http.StatusInternalServerError)
	_ = json.NewEncoder(w).Encode(errorBody{Error: "in-doubt"})
}

type httpBackend struct {
	base    string
	client  *http.Client
	watches *http.Client

	onDead func(f func(since time.Time))
}

func openHTTP(address string) (Backend, error) {
	if _, err := url.Parse(address); err != nil {
		return Backend{}, merry.Errorf("platform address: %w", err)
	}
	return newHTTPBackend(strings.TrimSuffix(address, "/"), (&net.Dialer{}).DialContext).backend(), nil
}

// newHTTPBackend returns a client of the store at base, whose connections dial opens.
func newHTTPBackend(base string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *httpBackend {
	transport := NewTransport(func() *http.Transport {
		return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: httpIdleTimeout}
	}, base+httpCheckPath)
	return &httpBackend{
		base: base, client: &http.Client{Transport: transport}, watches: &http.Client{Transport: transport.Watches()}, onDead: transport.OnDead,
	}
}

func (b *httpBackend) backend() Backend {
	return Backend{
		Get:    b.get,
		List:   b.list,
		Create: b.create,
		Update: b.update,
		Delete: b.remove,
		Watch:  b.watch,
		VMs:    b.vms,

		Changes: b.changes,
		OnDead:  b.onDead,
	}
}

func (b *httpBackend) do(ctx context.Context, client *http.Client, method, path, ifMatch string, value []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, b.base+path, bytes.NewReader(value))
	if err != nil {
		return merry.Errorf("build request: %w", err)
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	res, err := client.Do(req)
	if err != nil {
		return merry.Errorf("%s %s: %w: %w", method, path, ErrInDoubt, err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return decodeError(res)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return merry.Errorf("%s %s: %w: %w", method, path, ErrInDoubt, err)
	}
	return nil
}

func decodeError(res *http.Response) error {
	var body errorBody
	_ = json.NewDecoder(res.Body).Decode(&body)
	for _, entry := range errorCodes {
		if body.Error == entry.code {
			return merry.Wrap(entry.err)
		}
	}
	return merry.Errorf("status %d: %w", res.StatusCode, ErrInDoubt)
}

func objectPath(name string) string { return "/objects/" + (&url.URL{Path: name}).EscapedPath() }

func (b *httpBackend) get(ctx context.Context, name string) (Object, error) {
	var body objectBody
	if err := b.do(ctx, b.client, http.MethodGet, objectPath(name), "", nil, &body); err != nil {
		return Object{}, err
	}
	return body.object(), nil
}

func (b *httpBackend) list(ctx context.Context, prefix, after string, limit int) (Page, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return b.getPage(ctx, b.client, q)
}

func (b *httpBackend) watch(ctx context.Context, prefix string, from int64) (Page, error) {
	q := url.Values{"prefix": {prefix}, "watch": {strconv.FormatInt(from, 10)}}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+httpWatchMargin)
	defer cancel()
	return b.getPage(ctx, b.watches, q)
}

func (b *httpBackend) changes(ctx context.Context, prefix string, from int64) (Page, error) {
	q := url.Values{"prefix": {prefix}, "watch": {strconv.FormatInt(from, 10)}, "wait": {noWait}}
	return b.getPage(ctx, b.client, q)
}

func (b *httpBackend) getPage(ctx context.Context, client *http.Client, q url.Values) (Page, error) {
	var body pageBody
	if err := b.do(ctx, client, http.MethodGet, "/objects?"+q.Encode(), "", nil, &body); err != nil {
		return Page{}, err
	}
	objects := make([]Object, len(body.Objects))
	for i, o := range body.Objects {
		objects[i] = o.object()
	}
	return NewPage(objects, body.Version, body.More), nil
}

func (b *httpBackend) create(ctx context.Context, name string, value []byte) (Object, error) {
	return b.put(ctx, name, "", value)
}

func (b *httpBackend) update(ctx context.Context, name string, version int64, value []byte) (Object, error) {
	return b.put(ctx, name, strconv.FormatInt(version, 10), value)
}

func (b *httpBackend) put(ctx context.Context, name, ifMatch string, value []byte) (Object, error) {
	var body objectBody
	if err := b.do(ctx, b.client, http.MethodPut, objectPath(name), ifMatch, value, &body); err != nil {
		return Object{}, err
	}
	return NewObject(name, body.Version, value), nil
}

func (b *httpBackend) remove(ctx context.Context, name string, version int64) error {
	var empty struct{}
	return b.do(ctx, b.client, http.MethodDelete, objectPath(name), fmt.Sprint(version), nil, &empty)
}

func (b *httpBackend) vms(ctx context.Context) ([]VM, error) {
	var vms []VM
	if err := b.do(ctx, b.client, http.MethodGet, "/vms", "", nil, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}
