package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store. It is sound: linearizable, and it keeps
// all of its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object // by kind and name
	events   []event
	changed  chan struct{}
	listener net.Listener
}

type meta struct {
	Name       string   `json:"Name"`
	Revision   uint64   `json:"Revision"`
	Created    int64    `json:"Created"`
	Finalizers []string `json:"Finalizers"`
	Deleting   bool     `json:"Deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"Object"`
	Deleted  bool   `json:"Deleted"`
}

func startStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes an object without a condition, as the operator and the backends do.
func (s *store) put(kind, name string, spec any) {
	body, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		o = s.create(kind, name)
	}
	o.Spec = body
	s.note(kind, o, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		delete(s.objects[kind], name)
		s.note(kind, o, true)
	}
}

func (s *store) create(kind, name string) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := &object{Meta: meta{Name: name, Created: time.Now().UnixMilli(), Finalizers: []string{}}}
	s.objects[kind][name] = o
	return o
}

// note gives a changed object the next revision and wakes the watches. The caller holds s.mu.
func (s *store) note(kind string, o *object, deleted bool) {
	s.revision++
	o.Meta.Revision = s.revision
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: *o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind][parts[1]]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, map[string]string{"Error": "no such object"})
	case r.Method == http.MethodPost && len(parts) == 1:
		s.write(w, r, kind, "", false)
	case r.Method == http.MethodPut:
		s.write(w, r, kind, parts[1], len(parts) == 3)
	case r.Method == http.MethodDelete:
		s.remove(kind, parts[1])
		reply(w, http.StatusOK, map[string]string{})
	default:
		reply(w, http.StatusNotFound, map[string]string{"Error": "no such call"})
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, *o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]string{"Error": "body"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		if o := s.objects[kind][in.Meta.Name]; o != nil {
			reply(w, http.StatusConflict, o)
			return
		}
		name = in.Meta.Name
		s.create(kind, name)
	}
	o := s.objects[kind][name]
	if o == nil {
		reply(w, http.StatusNotFound, map[string]string{"Error": "no such object"})
		return
	}
	if in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision {
		reply(w, http.StatusConflict, o)
		return
	}
	if status {
		o.Status = in.Status
	} else {
		o.Spec = in.Spec
	}
	s.note(kind, o, false)
	reply(w, http.StatusOK, o)
}
