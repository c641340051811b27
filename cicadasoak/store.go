package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	objectsPath  = "/cicadalink/objects/"
	storeLatency = 4 * time.Millisecond
	maxPageSize  = 500
)

// A storedObject is an object of the store as it is sent.
type storedObject struct {
	Meta   objectMeta
	Spec   json.RawMessage
	Status json.RawMessage
}

type objectMeta struct {
	Name           string
	Revision       int64
	CreateRevision int64
}

type storeEvent struct {
	kind    string
	at      time.Time
	Object  storedObject
	Deleted bool
}

// A watchPage is the answer to a watch.
type watchPage struct {
	Events []storeEvent `json:"events"`
	AsOf   int64
}

// A store is a stand-in of the platform's store, in memory.
type store struct {
	mu      sync.Mutex
	asOf    int64
	kinds   map[string]map[string]storedObject
	events  []storeEvent
	changed chan struct{} // closed at each change
}

func newStore() *store {
	return &store{asOf: 1, kinds: make(map[string]map[string]storedObject), changed: make(chan struct{})}
}

// A storeFront serves the store to one process, which it can refuse.
type storeFront struct {
	*store
	storeFaults
	refusing atomic.Bool
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	if f.disturb(w, r) {
		return
	}
	if f.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path, ok := strings.CutPrefix(r.URL.EscapedPath(), objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := append(strings.Split(path, "/"), "", "")
	kind, _ := url.PathUnescape(parts[0])
	name, _ := url.PathUnescape(parts[1])
	status, body := f.handle(r, kind, name, parts[2] == "status", f)
	f.hold(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(r *http.Request, kind, name string, isStatus bool, f *storeFront) (int, any) {
	switch {
	case r.Method != http.MethodGet:
		return s.change(r, kind, name, isStatus)
	case name != "":
		s.mu.Lock()
		defer s.mu.Unlock()
		if o, ok := s.kinds[kind][name]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	case r.URL.Query().Has("Watch") && f.lag.Load() > 0:
		return s.watchLate(r, kind, time.Duration(f.lag.Load()))
	case r.URL.Query().Has("Watch"):
		return s.watch(r, kind, f.refusing.Load)
	}
	return s.list(kind, r.URL.Query().Get("After"))
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items []storedObject
		More  bool
		AsOf  int64
	}{AsOf: s.asOf, Items: []storedObject{}}
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page.More = len(names) > maxPageSize
	for _, name := range names[:min(len(names), maxPageSize)] {
		page.Items = append(page.Items, s.kinds[kind][name])
	}
	return http.StatusOK, page
}

func (s *store) watch(r *http.Request, kind string, refusing func() bool) (int, any) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	page := watchPage{Events: []storeEvent{}}
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
		if refusing() {
			return http.StatusServiceUnavailable, nil
		}
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
	var in storedObject
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if q := r.URL.Query().Get("Revision"); q != "" {
		in.Meta.Revision, _ = strconv.ParseInt(q, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, o
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method != http.MethodPost && in.Meta.Revision > 0 && in.Meta.Revision != o.Meta.Revision:
		return http.StatusConflict, o
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.record(kind, o, true)
	}
	o.Meta.Name = name
	if isStatus {
		o.Status = in.Status
	} else {
		o.Spec = in.Spec
	}
	return http.StatusOK, s.record(kind, o, false)
}

// record applies a change. The caller holds mu.
func (s *store) record(kind string, o storedObject, deleted bool) storedObject {
	s.asOf++
	o.Meta.Revision = s.asOf
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]storedObject)
	}
	if deleted {
		delete(s.kinds[kind], o.Meta.Name)
	} else {
		s.kinds[kind][o.Meta.Name] = o
	}
	s.events = append(s.events, storeEvent{kind: kind, at: time.Now(), Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object, as the operator or an endpoint does.
func (s *store) put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Meta.Name, o.Spec = name, value
	s.record(kind, o, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.record(kind, o, true)
	}
}

func (s *store) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kinds[kind])
}
