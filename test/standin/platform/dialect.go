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

// objectsPath is the root of the object API in the dialect of the users'
// platform, which serves the same objects. Calls in the dialect are translated
// to native calls, so that both dialects share objects, faults and call counts.
const objectsPath = "/api/objects/"

// dialectObject is an object in the dialect's JSON form.
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

func toDialect(o platform.Object) dialectObject {
	d := dialectObject{Spec: o.Value, Status: json.RawMessage("null")}
	d.Meta.Name, d.Meta.Revision = o.Name, o.Version
	return d
}

// dialectHandler serves the dialect by forwarding each call to the native
// handler.
func dialectHandler(native http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, responseType, requested, err := nativeRequest(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		recorder := httptest.NewRecorder()
		native.ServeHTTP(recorder, req)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(recorder.Code)
		_ = json.NewEncoder(w).Encode(dialectBody(responseType, recorder, requested))
	}
}

// Response types of the dialect.
const (
	objectAnswer = iota
	pageAnswer
	eventsAnswer
)

// nativeRequest translates a dialect request to a native one.
func nativeRequest(r *http.Request) (req *http.Request, responseType int, requested dialectObject, err error) {
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, 0, requested, err
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &requested); err != nil {
			return nil, 0, requested, err
		}
	}
	method, path, query := r.Method, "/v1/objects/"+kind, url.Values{}
	switch {
	case r.Method == http.MethodPost:
		method, name, hasName = http.MethodPut, requested.Meta.Name, true
		query.Set("if_version", "0")
	case r.Method == http.MethodPut:
		query.Set("if_version", formatUint(requested.Meta.Revision))
	case r.Method == http.MethodDelete:
		query.Set("if_version", r.FormValue("Revision"))
	case r.FormValue("Watch") != "":
		path, responseType = "/v1/watch/"+kind, eventsAnswer
		query.Set("after", r.FormValue("Watch"))
		query.Set("wait", r.FormValue("WaitMs")+"ms")
	case !hasName:
		responseType = pageAnswer
		query.Set("page", r.FormValue("after"))
	}
	if hasName {
		path += "/" + name
	}
	req = httptest.NewRequest(method, path+"?"+query.Encode(), bytes.NewReader(requested.Spec))
	return req.WithContext(context.WithoutCancel(r.Context())), responseType, requested, nil
}

func formatUint(n uint64) string {
	text, _ := json.Marshal(n)
	return string(text)
}

// dialectBody translates the body of a native response to the dialect.
func dialectBody(responseType int, recorder *httptest.ResponseRecorder, requested dialectObject) any {
	if recorder.Code != http.StatusOK {
		var failure platform.Failure
		_ = json.Unmarshal(recorder.Body.Bytes(), &failure)
		if failure.Current != nil {
			return toDialect(*failure.Current)
		}
		return failure
	}
	switch responseType {
	case pageAnswer:
		var list platform.List
		_ = json.Unmarshal(recorder.Body.Bytes(), &list)
		items := []dialectObject{}
		for _, o := range list.Objects {
			items = append(items, toDialect(o))
		}
		return map[string]any{"items": items, "HasMore": list.NextPage != "", "StoreRevision": list.Revision}
	case eventsAnswer:
		var changes platform.Changes
		_ = json.Unmarshal(recorder.Body.Bytes(), &changes)
		events := []map[string]any{}
		for _, c := range changes.Changes {
			events = append(events, map[string]any{"Object": toDialect(c.Object), "Deleted": c.Deleted})
		}
		return map[string]any{"events": events, "StoreRevision": changes.Revision}
	}
	var object platform.Object
	_ = json.Unmarshal(recorder.Body.Bytes(), &object)
	if object.Value == nil { // the native response to a write omits the value
		object.Value = requested.Spec
	}
	return toDialect(object)
}
