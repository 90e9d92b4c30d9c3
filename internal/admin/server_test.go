package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

const groupJSON = `{"id":"g","targets":[{"id":"t1","domain":"d","addr":"127.0.0.1:1","connections":16,"slots":2}]}`

// testHost is the administration API of one host with a stand-in platform.
type testHost struct {
	platform *standin.Server
	server   *admin.Server
	store    *customer.Store
}

func startTestHost(c *qt.C) *testHost {
	p, err := standin.Start(standin.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Close)
	_, err = p.Put("group", "g", json.RawMessage(groupJSON))
	c.Assert(err, qt.IsNil)
	h := &testHost{platform: p, store: customer.NewStore(logr.Discard(), nil)}
	client := platform.New(platform.Options{Addr: p.Addr, Caller: "h1"})
	self := topology.Host{ID: "h1", Domain: "d", State: topology.HostLive}
	syncer := customer.NewSyncer(customer.SyncerOptions{Self: self, Store: h.store, Client: client})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	c.Cleanup(func() { cancel(); <-done; client.Close() })
	h.server = admin.New(admin.Options{
		Self: self,
		Operators: []admin.Operator{
			{Name: "root", Token: "root-token"},
			{Name: "team", Token: "team-token", Customers: []topology.CustomerID{"mine", "new"}},
		},
		Store:              h.store,
		Platform:           client,
		ConfigurationReady: syncer.Health,
		Dumps:              map[string]func() any{"customer": h.store.Dump},
	})
	for !h.store.Ready() {
		time.Sleep(time.Millisecond)
	}
	return h
}

func (h *testHost) call(token, method, path, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	answer := httptest.NewRecorder()
	h.server.Handler().ServeHTTP(answer, r)
	text, _ := io.ReadAll(answer.Body)
	return answer.Code, string(bytes.TrimSpace(text))
}

const (
	customerSpec         = `{"template":"t","databases":{"db":"g"}}`
	customerSpecWithRate = `{"template":"t","databases":{"db":"g"},"parameters":{"rate":5}}`
)

func TestEditsAreConditionalAndAuthorized(t *testing.T) {
	c := qt.New(t)
	h := startTestHost(c)
	steps := []struct {
		token, method, path, body string
		status                    int
		contains                  string
	}{
		{"", "GET", "/healthz", "", 200, `"state":"ready"`},
		{"", "GET", "/v1/templates", "", 401, `"code":503`},
		{"wrong", "GET", "/v1/templates", "", 401, `"code":503`},
		{"root-token", "GET", "/v1/nothing", "", 404, `"code":510`},
		{"root-token", "PUT", "/v1/templates/t?version=0", `{}`, 200, `"version":1`},
		{"root-token", "PUT", "/v1/templates/t?version=0", `{}`, 409, `"version":1`},
		{"root-token", "PUT", "/v1/templates/T?version=0", `{}`, 400, `"field":"name"`},
		{"root-token", "PUT", "/v1/templates/t", `{}`, 400, "version:"},
		{"root-token", "PUT", "/v1/templates/t?version=1", `{"x":1,"parameters":{"rate":-1}}`, 400, `"field":"x"`},
		{"root-token", "PUT", "/v1/customers/mine?version=0", `{"template":"u","databases":{"db":"h"}}`, 400, `"field":"databases.db"`},
		{"root-token", "PUT", "/v1/customers/mine?version=0", customerSpec, 200, `"version":1`},
		{"root-token", "PUT", "/v1/customers/other?version=0", customerSpec, 200, `"version":2`},
		{"team-token", "PUT", "/v1/customers/mine?version=1", customerSpecWithRate, 200, `"version":3`},
		{"team-token", "GET", "/v1/customers/mine", "", 200, `"rate":5`},
		{"team-token", "PUT", "/v1/customers/other?version=2", customerSpecWithRate, 403, `"code":509`},
		{"team-token", "GET", "/v1/customers/other", "", 403, `"code":509`},
		{"team-token", "GET", "/v1/status/customers/other", "", 403, `"code":509`},
		{"team-token", "GET", "/v1/usage/other", "", 403, `"code":509`},
		{"team-token", "GET", "/v1/templates/t", "", 200, `"version":1`},
		{"team-token", "PUT", "/v1/templates/t?version=1", `{}`, 403, `"code":509`},
		{"team-token", "GET", "/v1/dump", "", 403, `"code":509`},
		{"team-token", "PUT", "/v1/customers/new?version=0", customerSpec, 200, `"version":4`},
		{"root-token", "DELETE", "/v1/templates/t?version=1", "", 400, "used by mine, new, other"},
		{"root-token", "DELETE", "/v1/customers/other?version=1", "", 409, `"version":2`},
		{"root-token", "DELETE", "/v1/customers/other?version=2", "", 200, `"version":5`},
		{"root-token", "GET", "/v1/customers/other", "", 404, `"code":510`},
		{"root-token", "GET", "/v1/status/customers/mine", "", 200, `"whole":true`},
		{"root-token", "GET", "/v1/dump?slice=customer", "", 200, `"Ready":true`},
		{"root-token", "PUT", "/v1/templates/big?version=0", `"` + strings.Repeat("x", 1<<20) + `"`, 413, `"code":506`},
	}
	for _, step := range steps {
		status, body := h.call(step.token, step.method, step.path, step.body)
		comment := qt.Commentf("%s %s %s: %s", step.token, step.method, step.path, body)
		c.Check(status, qt.Equals, step.status, comment)
		c.Check(body, qt.Contains, step.contains, comment)
	}
	_, body := h.call("team-token", "GET", "/v1/customers", "")
	c.Check(body, qt.Not(qt.Contains), "other")
	c.Check(body, qt.Contains, "mine")
}

func TestEditSucceedsWhenPlatformAnswerIsLost(t *testing.T) {
	c := qt.New(t)
	h := startTestHost(c)
	h.platform.UpdateFaults(func(f *standin.Faults) { f.DropResponses = 1 })
	status, body := h.call("root-token", "PUT", "/v1/templates/t?version=0", `{"description":"mine"}`)
	c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	c.Check(body, qt.Equals, `{"version":1}`)
}

func TestDrainingHostFailsHealthCheckAndServesReadsDuringOutage(t *testing.T) {
	c := qt.New(t)
	h := startTestHost(c)
	h.platform.Close()
	h.server.SetDraining()
	status, body := h.call("", "GET", "/healthz", "")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Contains, `"draining"`)
	status, body = h.call("root-token", "GET", "/v1/templates", "")
	c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("reads must still work: %s", body))
}

// FuzzAPI sends arbitrary methods, paths and bodies to the API. Every request must
// get a response, JSON responses must be valid, and the API must not accept an
// invalid object.
func FuzzAPI(f *testing.F) {
	f.Add("PUT", "templates/t", "0", []byte(`{"parameters":{"rate":1}}`))
	f.Add("PUT", "customers/c", "x", []byte(`{"template":"t","databases":{"a":"g"},"users":[{"name":"u"}]}`))
	f.Add("DELETE", "templates/%00", "18446744073709551616", []byte{})
	f.Add("GET", "status/customers/a", "", []byte(nil))
	f.Add("PUT", "templates/t", "1", []byte(`{"edits":[],"deleted":true}`))
	c := qt.New(f)
	h := startTestHost(c)
	handler := h.server.Handler()
	f.Fuzz(func(t *testing.T, method, path, version string, body []byte) {
		r, err := http.NewRequest(method, "http://host/v1/"+path, bytes.NewReader(body))
		if err != nil {
			t.Skip()
		}
		r.URL.RawQuery = "version=" + version
		r.Header.Set("Authorization", "Bearer root-token")
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r)
		jsonBody := strings.HasPrefix(answer.Header().Get("Content-Type"), "application/json")
		if jsonBody && !json.Valid(answer.Body.Bytes()) {
			t.Fatalf("%s %s answered %d %q", method, path, answer.Code, answer.Body)
		}
		if method == http.MethodPut && answer.Code == http.StatusOK {
			_, templateErr := customer.ParseTemplate(body)
			_, specErr := customer.ParseSpec(body)
			if templateErr != nil && specErr != nil {
				t.Fatalf("%s accepted invalid body %q", path, body)
			}
		}
	})
}
