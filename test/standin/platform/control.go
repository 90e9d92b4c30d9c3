package platform

import (
	"encoding/json"
	"net/http"
)

// controlHandler serves GET and PATCH /v1/control/faults (fields that the body
// leaves out stay), and GET and DELETE /v1/control/calls.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/control/faults", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.Faults())
	})
	mux.HandleFunc("PATCH /v1/control/faults", s.patchFaults)
	mux.HandleFunc("GET /v1/control/calls", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.Calls())
	})
	mux.HandleFunc("DELETE /v1/control/calls", func(_ http.ResponseWriter, _ *http.Request) {
		s.ResetCalls()
	})
	return mux
}

func (s *Server) patchFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		fail(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	s.SetFaults(f)
	reply(w, f)
}
