package platform

import (
	"bytes"
	"fmt"
	"net/http"
)

// rawValues holds values that encoding/json can't encode. An object has a marker in the
// place of such a value until an answer is written.
type rawValues map[string]string // by marker, without quotes

// PutRaw writes an object as Put does, with a value that is sent as it is.
func (s *Server) PutRaw(kind, name, value string) error {
	s.mu.Lock()
	if s.raw == nil {
		s.raw = rawValues{}
	}
	marker := fmt.Sprintf("raw value %d", len(s.raw))
	s.raw[marker] = value
	s.mu.Unlock()
	_, err := s.Put(kind, name, marker)
	return err
}

// withRawValues replaces the markers in the answers of a handler.
func (s *Server) withRawValues(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(&rawWriter{w, s}, r) })
}

type rawWriter struct {
	http.ResponseWriter
	server *Server
}

// Write implements http.ResponseWriter. Bodies are written in one piece.
func (w *rawWriter) Write(b []byte) (int, error) {
	w.server.mu.Lock()
	body := b
	for marker, value := range w.server.raw {
		body = bytes.ReplaceAll(body, []byte(`"`+marker+`"`), []byte(value))
	}
	w.server.mu.Unlock()
	if _, err := w.ResponseWriter.Write(body); err != nil {
		return 0, err
	}
	return len(b), nil
}
