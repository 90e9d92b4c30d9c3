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

// store stands in for the platform's metadata store.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object // by kind and name
	events   []event
	changed  chan struct{}

	// Faults, guarded by mu.
	silent  bool                              // calls get no answer and have no effect
	busy    bool                              // calls get 503
	onWrite func(kind, name string) writeFate // decides what becomes of a write; nil: it is answered
}

// writeFate is what becomes of a write call.
type writeFate struct {
	lost  bool          // it gets no answer
	after time.Duration // a lost write is carried out after this time, if its condition still holds; negative: never
}

type object struct {
	name     string
	revision uint64
	spec     json.RawMessage
}

type event struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

func startStore(ip string) (*store, error) {
	s := &store{objects: map[string]map[string]*object{}, changed: make(chan struct{}), revision: 10}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go http.Serve(l, s)
	return s, nil
}

func (o *object) json() map[string]any {
	return map[string]any{"meta": map[string]any{"Name": o.name, "Revision": o.revision, "Created": 1, "Finalizers": []string{}, "Deleting": false}, "spec": o.spec, "status": nil}
}

// put writes an object without a condition, for the operator and the servers.
func (s *store) put(kind, name string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(kind, name, spec)
}

func (s *store) setLocked(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.revision++
	o := &object{name: name, revision: s.revision, spec: spec}
	s.objects[kind][name] = o
	s.events = append(s.events, event{kind, s.revision, *o, false})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		delete(s.objects[kind], name)
		s.revision++
		s.events = append(s.events, event{kind, s.revision, *o, true})
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *store) setFaults(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	silent, busy := s.silent, s.busy
	s.mu.Unlock()
	if silent {
		hang(w)
		return
	}
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/api/objects/")
	kind, name, _ := strings.Cut(path, "/")
	switch r.Method {
	case http.MethodGet:
		switch {
		case name != "":
			s.serveGet(w, kind, name)
		case r.URL.Query().Get("Watch") != "":
			s.serveWatch(w, r, kind)
		default:
			s.serveList(w, kind, r.URL.Query().Get("after"))
		}
	case http.MethodPost, http.MethodPut:
		s.serveWrite(w, r.Method, kind, name, body)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// hang takes over a connection and leaves it open without an answer.
func hang(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			time.AfterFunc(40*time.Second, func() { conn.Close() })
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o.json())
}

// serveList returns a page of about 500 objects or 1 MB at most.
func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []any{}
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	bytes, more := 0, false
	for _, name := range names {
		o := s.objects[kind][name]
		if name <= after {
			continue
		}
		if bytes += len(o.spec); len(items) > 0 && (bytes > 1<<20 || len(items) == 500) {
			more = true
			break
		}
		items = append(items, o.json())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "StoreRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				o := e.object
				events = append(events, map[string]any{"Object": o.json(), "Deleted": e.deleted})
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
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, method, kind, name string, body []byte) {
	var o struct {
		Meta struct {
			Name     string
			Revision uint64
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(body, &o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fate := writeFate{}
	if s.onWrite != nil {
		fate = s.onWrite(kind, o.Meta.Name)
	}
	s.mu.Unlock()
	apply := func() (int, any) {
		s.mu.Lock()
		defer s.mu.Unlock()
		present := s.objects[kind][o.Meta.Name]
		switch {
		case method == http.MethodPost && present != nil, method == http.MethodPut && present != nil && o.Meta.Revision != 0 && present.revision != o.Meta.Revision:
			return http.StatusConflict, present.json()
		case method == http.MethodPut && present == nil:
			return http.StatusNotFound, map[string]any{}
		case present != nil && string(present.spec) == string(o.Spec):
			return http.StatusOK, present.json()
		}
		return http.StatusOK, s.setLocked(kind, o.Meta.Name, o.Spec).json()
	}
	if !fate.lost {
		status, answer := apply()
		reply(w, status, answer)
		return
	}
	if fate.after == 0 {
		apply()
	} else if fate.after > 0 {
		time.AfterFunc(fate.after, func() { apply() })
	}
	hang(w)
}
