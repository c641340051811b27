package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath  = "/cicadalink/objects/"
	storeLatency = 4 * time.Millisecond
	pageSize     = 500
)

// An objectMeta is the metadata of an object in the store.
type objectMeta struct {
	Name           string
	Revision       int64
	CreateRevision int64
	Finalizers     []string
	Deleting       bool
}

// An object is an object of the store as it is sent.
type object struct {
	Meta   objectMeta
	Spec   json.RawMessage
	Status json.RawMessage
}

// A storeEvent is a change of an object.
type storeEvent struct {
	kind    string
	Object  object
	Deleted bool
}

// A store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	ln  net.Listener
	srv *http.Server

	mu      sync.Mutex
	asOf    int64
	kinds   map[string]map[string]object
	events  []storeEvent
	changed chan struct{} // closed at each change
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, asOf: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// record applies a change. The caller holds mu.
func (s *store) record(kind string, o object, deleted bool) object {
	s.asOf++
	o.Meta.Revision = s.asOf
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	if deleted {
		delete(s.kinds[kind], o.Meta.Name)
	} else {
		if o.Meta.CreateRevision == 0 {
			o.Meta.CreateRevision = s.asOf
		}
		s.kinds[kind][o.Meta.Name] = o
	}
	s.events = append(s.events, storeEvent{kind: kind, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object as the operator or a worker does, and returns the time of the
// acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[kind][name]
	old.Meta.Name = name
	old.Spec = raw
	s.record(kind, old, false)
	return time.Now()
}

// remove deletes an object, and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.record(kind, o, true)
	}
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	path, ok := strings.CutPrefix(r.URL.EscapedPath(), objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := append(strings.Split(path, "/"), "", "")
	kind, _ := url.PathUnescape(parts[0])
	name, _ := url.PathUnescape(parts[1])
	var status int
	var body any
	switch {
	case r.Method != http.MethodGet:
		status, body = s.change(r, kind, name, parts[2] == "status")
	case name != "":
		status, body = s.get(kind, name)
	case r.URL.Query().Has("Watch"):
		status, body = s.watch(r, kind)
	default:
		status, body = s.list(kind, r.URL.Query().Get("After"))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		return http.StatusOK, o
	}
	return http.StatusNotFound, nil
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items []object
		More  bool
		AsOf  int64
	}{Items: []object{}, AsOf: s.asOf}
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page.More = len(names) > pageSize
	for _, name := range names[:min(len(names), pageSize)] {
		page.Items = append(page.Items, s.kinds[kind][name])
	}
	return http.StatusOK, page
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	page := struct {
		Events []storeEvent `json:"events"`
		AsOf   int64
	}{Events: []storeEvent{}}
	for {
		s.mu.Lock()
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > from {
				page.Events = append(page.Events, e)
			}
		}
		page.AsOf = s.asOf
		changed := s.changed
		s.mu.Unlock()
		if len(page.Events) > 0 {
			return http.StatusOK, page
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, page
		case <-r.Context().Done():
			return http.StatusOK, page
		}
	}
}

func (s *store) change(r *http.Request, kind, name string, isStatus bool) (int, any) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	var in object
	if len(data) > 0 && json.Unmarshal(data, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if name == "" {
		name = in.Meta.Name
	}
	if q := r.URL.Query().Get("Revision"); q != "" {
		in.Meta.Revision, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method != http.MethodPost && in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	}
	next := old
	next.Meta.Name = name
	switch {
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.record(kind, old, true)
	case isStatus:
		next.Status = in.Status
	default:
		next.Spec, next.Meta.Finalizers = in.Spec, in.Meta.Finalizers
	}
	if exists && bytes.Equal(next.Spec, old.Spec) && bytes.Equal(next.Status, old.Status) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.record(kind, next, false)
}
