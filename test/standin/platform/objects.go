package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// objectsPath is where the users' platform serves the same objects in its own
// dialect. Calls there are turned into native ones, so that both dialects share
// objects, faults and counts.
const objectsPath = "/api/objects/"

// dialectObject is an object in that dialect.
type dialectObject struct {
	Meta struct {
		Name       string
		Revision   uint64
		Created    uint64
		Finalizers []string
		Deleting   bool
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

func dialectOf(o platform.Object) dialectObject {
	d := dialectObject{Spec: o.Value, Status: json.RawMessage("null")}
	d.Meta.Name, d.Meta.Revision = o.Name, o.Version
	return d
}

// objects serves the dialect by means of the native handler.
func objects(native http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, kind, sent, err := nativeRequest(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		rec := httptest.NewRecorder()
		native.ServeHTTP(rec, req)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(rec.Code)
		_ = json.NewEncoder(w).Encode(dialectBody(kind, rec, sent))
	}
}

// The kinds of answers.
const (
	oneObject = iota
	aPage
	someEvents
)

// nativeRequest turns a call of the dialect into a native one.
func nativeRequest(r *http.Request) (req *http.Request, answer int, sent dialectObject, err error) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, 0, sent, err
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			return nil, 0, sent, err
		}
	}
	method, path, query := r.Method, "/v1/objects/"+kind, url.Values{}
	switch {
	case r.Method == http.MethodPost:
		method, name, named = http.MethodPut, sent.Meta.Name, true
		query.Set("if_version", "0")
	case r.Method == http.MethodPut:
		query.Set("if_version", jsonNumber(sent.Meta.Revision))
	case r.Method == http.MethodDelete:
		query.Set("if_version", r.FormValue("Revision"))
	case r.FormValue("Watch") != "":
		path, answer = "/v1/watch/"+kind, someEvents
		query.Set("after", r.FormValue("Watch"))
		query.Set("wait", r.FormValue("WaitMs")+"ms")
	case !named:
		answer = aPage
		query.Set("page", r.FormValue("after"))
	}
	if named {
		path += "/" + name
	}
	req = httptest.NewRequest(method, path+"?"+query.Encode(), bytes.NewReader(sent.Spec))
	return req.WithContext(context.WithoutCancel(r.Context())), answer, sent, nil
}

func jsonNumber(n uint64) string {
	text, _ := json.Marshal(n)
	return string(text)
}

// dialectBody turns the body of a native answer into the dialect's.
func dialectBody(kind int, rec *httptest.ResponseRecorder, sent dialectObject) any {
	if rec.Code != http.StatusOK {
		var failure platform.Failure
		_ = json.Unmarshal(rec.Body.Bytes(), &failure)
		if failure.Current != nil {
			return dialectOf(*failure.Current)
		}
		return failure
	}
	switch kind {
	case aPage:
		var list platform.List
		_ = json.Unmarshal(rec.Body.Bytes(), &list)
		items := []dialectObject{}
		for _, o := range list.Objects {
			items = append(items, dialectOf(o))
		}
		return map[string]any{"items": items, "HasMore": list.NextPage != "", "StoreRevision": list.Revision}
	case someEvents:
		var changes platform.Changes
		_ = json.Unmarshal(rec.Body.Bytes(), &changes)
		events := []map[string]any{}
		for _, c := range changes.Changes {
			events = append(events, map[string]any{"Object": dialectOf(c.Object), "Deleted": c.Deleted})
		}
		return map[string]any{"events": events, "StoreRevision": changes.Revision}
	}
	var object platform.Object
	_ = json.Unmarshal(rec.Body.Bytes(), &object)
	if object.Value == nil { // a write is answered without its value
		object.Value = sent.Spec
	}
	return dialectOf(object)
}
