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
	defaultPageSize = 500              // objects per page if the request sets no limit
	maxPageSize     = 1000             // maximum objects per page
	maxWatchWait    = 60 * time.Second // longest wait of a watch
)

// handler answers one API call that passed intercept.
type handler func(w http.ResponseWriter, r *http.Request)

func (s *Server) apiHandler() http.Handler { return s.withRawValues(s.withEra(s.objectHandler())) }

func (s *Server) objectHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.intercept("get", s.get))
	mux.HandleFunc("GET /v1/objects/{kind}", s.intercept("list", s.list))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.intercept("put", s.put))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.intercept("delete", s.delete))
	mux.HandleFunc("GET /v1/watch/{kind}", s.intercept("watch", s.watch))
	mux.Handle(objectsPath, dialectHandler(mux))
	return mux
}

// intercept simulates outages and delays, counts the call and enforces the
// call budget.
func (s *Server) intercept(method string, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.awaitReachable(r.Context()) {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		s.callCounts.add(r.Header.Get(platform.CallerHeader), method, r.PathValue("kind"))
		if !s.withinBudget(method) {
			w.Header().Set("Retry-After", "1")
			writeFailure(w, http.StatusTooManyRequests, "call budget exhausted", nil)
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
		writeFailure(w, http.StatusNotFound, "no such object", nil)
		return
	}
	writeJSON(w, object)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit := defaultPageSize
	if text := r.FormValue("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxPageSize {
			writeFailure(w, http.StatusBadRequest, "limit must be between 1 and 1000", nil)
			return
		}
		limit = n
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	c := s.collection(kind)
	c.listDueChanges(time.Now(), s.listLag(kind))
	page := c.page(r.FormValue("page"), limit)
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeFailure(w, http.StatusRequestEntityTooLarge, "value exceeds 1 MiB", nil)
	case err != nil || !json.Valid(value):
		writeFailure(w, http.StatusBadRequest, "value is not valid JSON", nil)
	default:
		s.write(w, r, value, false)
	}
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) { s.write(w, r, nil, true) }

// write applies a conditional change. It responds with the new version, or
// drops the response if that fault is set.
func (s *Server) write(w http.ResponseWriter, r *http.Request, value []byte, deleted bool) {
	wantVersion, err := strconv.ParseUint(r.FormValue("if_version"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, "if_version must be a version, or 0 to create the object", nil)
		return
	}
	object := platform.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Value: value}
	s.mu.Lock()
	c := s.collection(object.Kind)
	current, exists := c.objects[object.Name]
	if current.Version != wantVersion || (deleted && !exists) {
		s.mu.Unlock()
		writeConflict(w, current, exists)
		return
	}
	object = c.recordChange(object, deleted, time.Now())
	dropAnswer := s.faults.DropResponses > 0
	if dropAnswer {
		s.faults.DropResponses--
	}
	s.mu.Unlock()
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platform.Object{Kind: object.Kind, Name: object.Name, Version: object.Version})
}

func writeConflict(w http.ResponseWriter, current platform.Object, exists bool) {
	if !exists {
		writeFailure(w, http.StatusConflict, "no such object", nil)
		return
	}
	writeFailure(w, http.StatusConflict, "the object has a different version", &current)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, "after must be a revision", nil)
		return
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		writeFailure(w, http.StatusBadRequest, "wait must be a duration of at most 60s", nil)
		return
	}
	s.callCounts.addWaiting(1)
	defer s.callCounts.addWaiting(-1)
	s.serveWatch(w, r, after, time.Now().Add(wait))
}

// serveWatch responds as soon as there are changes, or with none at the
// deadline.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, after uint64, deadline time.Time) {
	kind := r.PathValue("kind")
	for {
		s.mu.Lock()
		c := s.collection(kind)
		next := c.listDueChanges(time.Now(), s.listLag(kind))
		changes, known := c.changesAfter(after)
		changed, faultsChanged, outage := c.changed, s.faultsChanged, s.faults.Outage
		s.mu.Unlock()
		if outage != OutageNone {
			if !s.awaitReachable(r.Context()) {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		switch remaining := time.Until(deadline); {
		case !known:
			writeFailure(w, http.StatusGone, "the revision is outside the retained history", nil)
			return
		case len(changes) > 0:
			writeJSON(w, platform.Changes{Revision: changes[len(changes)-1].Object.Version, Changes: changes})
			return
		case remaining <= 0:
			writeJSON(w, platform.Changes{Revision: after, Changes: []platform.Change{}})
			return
		case next == 0 || next > remaining:
			next = remaining
		}
		if !s.awaitChange(r, changed, faultsChanged, next) {
			return
		}
	}
}

// awaitChange waits for a change, for new faults or for d. It returns false if
// the client disconnected.
func (s *Server) awaitChange(r *http.Request, changed, faultsChanged chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-faultsChanged:
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeFailure(w http.ResponseWriter, status int, message string, current *platform.Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(platform.Failure{Message: message, Current: current})
}
