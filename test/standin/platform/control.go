package platform

import (
	"encoding/json"
	"net/http"
)

// controlHandler serves GET and PATCH /v1/control/faults, and GET and DELETE
// /v1/control/calls. PATCH leaves fields unchanged that the body omits.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/control/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Faults())
	})
	mux.HandleFunc("PATCH /v1/control/faults", s.patchFaults)
	mux.HandleFunc("GET /v1/control/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Calls())
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
		writeFailure(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}
