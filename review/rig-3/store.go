package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store is a stand-in of the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object // by kind and name
	history  []event
	changed  chan struct{} // closed at each change
	onWrite  func(kind, name string)
}

type meta struct {
	Name           string
	Revision       int64
	CreateRevision int64
	Finalizers     []string
	Deleting       bool
}

type object struct {
	Meta   meta
	Spec   json.RawMessage
	Status json.RawMessage
}

type event struct {
	kind    string
	Object  object
	Deleted bool
}

const (
	objectsPath = "/cicadalink/objects/"
	pageItems   = 500
	pageBytes   = 1 << 20
	valueBytes  = 1 << 20
)

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]*object), changed: make(chan struct{}), onWrite: func(string, string) {}}
}

// A front is an address of the store that one process uses.
type front struct {
	store *store
	mu    sync.Mutex
	// silent is set while nothing is answered.
	silent bool
	fault  func(w http.ResponseWriter, r *http.Request, serve func()) // nil: none
}

func (f *front) setFault(fault func(http.ResponseWriter, *http.Request, func())) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	if fault != nil {
		fault(w, r, func() { f.store.ServeHTTP(w, r) })
		return
	}
	answer := &answerBuffer{header: make(http.Header)}
	f.store.ServeHTTP(answer, r)
	if f.isSilent() { // since the request was sent
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer.send(w)
}

// setSilent makes the store answer nothing from now on, also what was sent before, or end that. What was not
// answered is never answered.
func (f *front) setSilent(silent bool) {
	f.mu.Lock()
	f.silent = silent
	f.mu.Unlock()
	if silent {
		f.setFault(func(_ http.ResponseWriter, r *http.Request, _ func()) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		})
		return
	}
	f.setFault(nil)
}

func (f *front) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// An answerBuffer holds an answer until it is sent.
type answerBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answerBuffer) Header() http.Header         { return a.header }
func (a *answerBuffer) WriteHeader(status int)      { a.status = status }
func (a *answerBuffer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *answerBuffer) send(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(cmp.Or(a.status, http.StatusOK))
	_, _ = w.Write(a.body.Bytes())
}

// listen serves the store at a new address.
func (s *store) listen(ip string) (*front, string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, "", err
	}
	f := &front{store: s}
	go func() { _ = (&http.Server{Handler: f}).Serve(ln) }()
	return f, ln.Addr().String(), nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(path, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	isStatus := len(parts) > 2 && parts[2] == "status"
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && q.Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, q.Get("After"))
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name, isStatus)
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseInt(q.Get("Revision"), 10, 64)
		s.remove(w, kind, name, revision)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	var found object
	if o != nil {
		found = *o
	}
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size, more := []object{}, 0, false
	for _, name := range names {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		o := *s.objects[kind][name]
		items, size = append(items, o), size+len(o.Spec)
	}
	asOf := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "More": more, "AsOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, asOf, changed := []event{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Spec) > valueBytes || len(in.Status) > valueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	status, out := s.apply(r.Method == http.MethodPost, kind, name, isStatus, in)
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, status, out)
	s.onWrite(kind, out.Meta.Name)
}

func (s *store) apply(create bool, kind, name string, isStatus bool, in object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if create {
		name = in.Meta.Name
	}
	o := s.objects[kind][name]
	switch {
	case create && o != nil:
		return http.StatusConflict, *o
	case !create && o == nil:
		return http.StatusNotFound, object{}
	case !create && in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
		return http.StatusConflict, *o
	}
	next := object{Meta: meta{Name: name, Finalizers: []string{}}, Spec: in.Spec}
	if o != nil {
		next = *o
		if isStatus {
			next.Status = in.Status
		} else {
			next.Spec = in.Spec
		}
		if string(next.Spec) == string(o.Spec) && string(next.Status) == string(o.Status) {
			return http.StatusOK, *o
		}
	}
	s.put(kind, next)
	return http.StatusOK, *s.objects[kind][name]
}

// put stores an object. The caller holds s.mu.
func (s *store) put(kind string, o object) {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.CreateRevision == 0 {
		o.Meta.CreateRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][o.Meta.Name] = &o
	s.history = append(s.history, event{kind: kind, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(w http.ResponseWriter, kind, name string, revision int64) {
	s.mu.Lock()
	o := s.objects[kind][name]
	if o == nil {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if revision != 0 && revision != o.Meta.Revision {
		found := *o
		s.mu.Unlock()
		writeJSON(w, http.StatusConflict, found)
		return
	}
	removed := s.removeLocked(kind, name)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, removed)
}

func (s *store) removeLocked(kind, name string) object {
	gone := *s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	gone.Meta.Revision = s.revision
	s.history = append(s.history, event{kind: kind, Object: gone, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
	return gone
}

// set writes an object as the operator or a server does.
func (s *store) set(kind, name string, spec any) {
	value, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := object{Meta: meta{Name: name, Finalizers: []string{}}}
	if old := s.objects[kind][name]; old != nil {
		o = *old
	}
	o.Spec = value
	s.put(kind, o)
}

// unset removes an object as a server does that leaves.
func (s *store) unset(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind][name] != nil {
		s.removeLocked(kind, name)
	}
}
