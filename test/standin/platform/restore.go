package platform

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// dialectEraHeader is the dialect's name of platform.EraHeader.
const dialectEraHeader = "Store-Era"

// Snapshot is a copy of all objects, from which the stand-in can be restored.
type Snapshot struct{ collections map[string]*collection }

// Snapshot returns a copy of all objects.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{copyCollections(s.collections)}
}

func copyCollections(collections map[string]*collection) map[string]*collection {
	copies := map[string]*collection{}
	for kind, c := range collections {
		copied := newCollection()
		copied.revision, copied.trimmedRevision, copied.listedRevision = c.revision, c.revision, c.revision
		copied.objects, copied.listed = maps.Clone(c.objects), maps.Clone(c.objects)
		copies[kind] = copied
	}
	return copies
}

// Restore makes the stand-in unreachable for the time down and then brings it back from
// a copy, in a new era. What was written since is lost, revisions go back and the
// history is gone.
func (s *Server) Restore(from Snapshot, down time.Duration) {
	s.UpdateFaults(func(f *Faults) { f.Outage = OutageRefuse })
	time.Sleep(down)
	s.Load(from)
	s.UpdateFaults(func(f *Faults) { f.Outage = OutageNone })
}

// Load replaces all objects by the copy and begins a new era.
func (s *Server) Load(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.collections {
		close(c.changed) // wakes the watches, which then find the copy
	}
	s.collections = copyCollections(from.collections)
	s.era++
}

// Era returns how often the stand-in was restored.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// withEra adds the era to all answers, as it is when an answer is written.
func (s *Server) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, server: s}, r)
	})
}

type eraWriter struct {
	http.ResponseWriter
	server *Server
	wrote  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if w.wrote {
		return
	}
	w.wrote = true
	era := strconv.FormatUint(w.server.Era(), 10)
	w.Header().Set(platform.EraHeader, era)
	w.Header().Set(dialectEraHeader, era)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.ResponseWriter.Write(b)
}
