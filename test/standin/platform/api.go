package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
)

const (
	defaultPage = 500              // objects on a page when the request names no limit
	maxPage     = 1000             // objects on a page at most
	maxWait     = 60 * time.Second // of a watch
)

// handler answers one counted call.
type handler func(w http.ResponseWriter, r *http.Request)

func (s *Server) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.counted("get", s.get))
	mux.HandleFunc("GET /v1/objects/{kind}", s.counted("list", s.list))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.counted("put", s.put))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.counted("delete", s.delete))
	mux.HandleFunc("GET /v1/watch/{kind}", s.counted("watch", s.watch))
	mux.Handle(objectsPath, objects(mux))
	return mux
}

// counted counts the call, brings about outage and delay, and holds the budget.
func (s *Server) counted(method string, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.reachable(r.Context()) {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		s.calls.add(r.Header.Get(platform.CallerHeader), method, r.PathValue("kind"))
		if !s.withinBudget(method) {
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusTooManyRequests, "call budget used up", nil)
			return
		}
		next(w, r)
	}
}

func (s *Server) withinBudget(method string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isWrite(method) {
		return s.writes.Allow()
	}
	return s.reads.Allow()
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, ok := s.Object(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		fail(w, http.StatusNotFound, "no such object", nil)
		return
	}
	reply(w, object)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit := defaultPage
	if text := r.FormValue("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxPage {
			fail(w, http.StatusBadRequest, "limit: 1 to 1000", nil)
			return
		}
		limit = n
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	c := s.collection(kind)
	c.advance(time.Now(), s.lag(kind))
	page := c.page(r.FormValue("page"), limit)
	s.mu.Unlock()
	reply(w, page)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, "value above 1 MiB", nil)
	case err != nil || !json.Valid(value):
		fail(w, http.StatusBadRequest, "value is no JSON", nil)
	default:
		s.write(w, r, value, false)
	}
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) { s.write(w, r, nil, true) }

// write makes a conditional change and answers it, or drops the answer.
func (s *Server) write(w http.ResponseWriter, r *http.Request, value []byte, deleted bool) {
	want, err := strconv.ParseUint(r.FormValue("if_version"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "if_version: a version, 0 to create", nil)
		return
	}
	object := platform.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Value: value}
	s.mu.Lock()
	c := s.collection(object.Kind)
	current, exists := c.objects[object.Name]
	if current.Version != want || (deleted && !exists) {
		s.mu.Unlock()
		failWrite(w, current, exists)
		return
	}
	object = c.record(object, deleted, time.Now())
	drop := s.faults.DropAnswers > 0
	if drop {
		s.faults.DropAnswers--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	reply(w, platform.Object{Kind: object.Kind, Name: object.Name, Version: object.Version})
}

func failWrite(w http.ResponseWriter, current platform.Object, exists bool) {
	if !exists {
		fail(w, http.StatusConflict, "no such object", nil)
		return
	}
	fail(w, http.StatusConflict, "the object has another version", &current)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "after: a revision", nil)
		return
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		fail(w, http.StatusBadRequest, "wait: a duration up to 60s", nil)
		return
	}
	s.calls.wait(1)
	defer s.calls.wait(-1)
	s.answerWatch(w, r, after, time.Now().Add(wait))
}

// answerWatch answers once there is a change, or at the deadline.
func (s *Server) answerWatch(w http.ResponseWriter, r *http.Request, after uint64, deadline time.Time) {
	kind := r.PathValue("kind")
	for {
		s.mu.Lock()
		c := s.collection(kind)
		next := c.advance(time.Now(), s.lag(kind))
		changes, known := c.changesAfter(after)
		changed, faultsNew, outage := c.changed, s.faultsNew, s.faults.Outage
		s.mu.Unlock()
		if outage != OutageNone {
			if !s.reachable(r.Context()) {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		switch left := time.Until(deadline); {
		case !known:
			fail(w, http.StatusGone, "the history doesn't reach back to that revision", nil)
			return
		case len(changes) > 0:
			reply(w, platform.Changes{Revision: changes[len(changes)-1].Object.Version, Changes: changes})
			return
		case left <= 0:
			reply(w, platform.Changes{Revision: after, Changes: []platform.Change{}})
			return
		case next == 0 || next > left:
			next = left
		}
		if !s.awaitChange(r, changed, faultsNew, next) {
			return
		}
	}
}

// awaitChange waits for a change, new faults or d; false: the caller is gone.
func (s *Server) awaitChange(r *http.Request, changed, faultsNew chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-faultsNew:
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, status int, message string, current *platform.Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(platform.Failure{Message: message, Current: current})
}
