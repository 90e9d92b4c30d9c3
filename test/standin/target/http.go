package target

import (
	"encoding/json"
	"net/http"
	"time"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// State is what a server reports about itself to tests.
type State struct {
	Status             ctl.Status        `json:"status"`
	Connections        int               `json:"connections"`
	HighestConnections int               `json:"highest_connections"`
	Statements         map[string]uint64 `json:"statements"` // executed SQL statements by login user
	Entries            []Entry           `json:"entries"`
}

// State returns the server's status, connection and statement counts, and log.
func (s *Server) State() State {
	st := State{Status: s.Status(), Entries: s.Entries(), Statements: map[string]uint64{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Connections, st.HighestConnections = len(s.sessions), s.peakConnections
	for user, n := range s.statements {
		st.Statements[user] = n
	}
	return st
}

// Handler serves GET /state, POST /lag?received=DURATION&applied=DURATION and
// POST /peer?id=ID&addr=ADDR.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.State())
	})
	mux.HandleFunc("POST /lag", func(w http.ResponseWriter, r *http.Request) {
		received, err1 := time.ParseDuration(r.URL.Query().Get("received"))
		applied, err2 := time.ParseDuration(r.URL.Query().Get("applied"))
		if err1 != nil || err2 != nil {
			http.Error(w, "received and applied must be durations", http.StatusBadRequest)
			return
		}
		s.SetLag(received, applied)
	})
	mux.HandleFunc("POST /peer", func(_ http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		s.SetPeer(topology.TargetID(q.Get("id")), q.Get("addr"))
	})
	return mux
}
