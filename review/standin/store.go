package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in for the platform's object store (PROTOCOL.md, "The platform's
// metadata store").
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object // by kind and name
	events   []event
	changed  chan struct{} // closed and replaced at each change
	down     chan struct{} // not nil while the store answers nobody; closed at its return
	listener net.Listener
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type meta struct {
	Name     string
	Revision uint64
}

type event struct {
	kind    string
	Object  object
	Deleted bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// setDown makes the store silent, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.down = make(chan struct{})
		close(s.changed) // watches end without an answer
		s.changed = make(chan struct{})
		return
	}
	close(s.down)
	s.down = nil
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down != nil
}

// put writes an object as the operator or a backend does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the callers pass plain maps
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, text)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.revision++
	o := &object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
	s.objects[kind][name] = o
	s.noteLocked(event{kind: kind, Object: *o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *o
	gone.Meta.Revision = s.revision
	s.noteLocked(event{kind: kind, Object: gone, Deleted: true})
}

func (s *store) noteLocked(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down != nil { // it gives no answer, and does nothing
		select {
		case <-down:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind][name]; o != nil {
			answer(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.removeLocked(kind, name)
	case isStatus:
		w.WriteHeader(http.StatusOK)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	present := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && present != nil:
		answer(w, http.StatusConflict, present)
	case r.Method == http.MethodPut && present == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut && o.Meta.Revision != 0 && o.Meta.Revision != present.Meta.Revision:
		answer(w, http.StatusConflict, present)
	default:
		answer(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, items := r.URL.Query().Get("after"), []*object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []map[string]any
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > after {
				found = append(found, map[string]any{"Object": e.Object, "Deleted": e.Deleted})
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down != nil {
			select {
			case <-down:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []int{}, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that left needs no answer
}
