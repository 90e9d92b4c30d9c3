package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	wire "nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/test/standin/platform"
)

func startServer(c *qt.C, faults platform.Faults) *platform.Server {
	s, err := platform.Start(platform.Config{Faults: faults})
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	return s
}

// call returns the status and body of the response. Status 0 means that the
// request failed without a response.
func call(c *qt.C, s *platform.Server, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+s.Addr+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	r.Header.Set(wire.CallerHeader, "h1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(text)
}

func TestConditionalWrites(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, platform.Faults{})
	steps := []struct {
		method, path, body string
		status             int
		contains           string
	}{
		{"PUT", "/v1/objects/template/a?if_version=0", `{"x":1}`, 200, `"version":1`},
		{"PUT", "/v1/objects/template/a?if_version=0", `{"x":2}`, 409, `"value":{"x":1}`},
		{"PUT", "/v1/objects/template/a?if_version=1", `{"x":2}`, 200, `"version":2`},
		{"GET", "/v1/objects/template/a", "", 200, `{"x":2}`},
		{"DELETE", "/v1/objects/template/a?if_version=1", "", 409, `"version":2`},
		{"DELETE", "/v1/objects/template/a?if_version=2", "", 200, `"version":3`},
		{"DELETE", "/v1/objects/template/a?if_version=0", "", 409, "no such object"},
		{"PUT", "/v1/objects/template/a?if_version=0", `{"x":3}`, 200, `"version":4`},
		{"GET", "/v1/objects/template?limit=1", "", 200, `"revision":4`},
		{"GET", "/v1/watch/template?after=2&wait=0s", "", 200, `"deleted":true`},
		{"GET", "/v1/watch/template?after=9&wait=0s", "", 410, ""},
		{"PUT", "/v1/objects/template/b?if_version=0", "nonsense", 400, "JSON"},
		{"PUT", "/v1/objects/template/b?if_version=0", `"` + strings.Repeat("x", 1<<20) + `"`, 413, ""},
		{"PUT", "/v1/objects/template/b", `{}`, 400, "if_version"},
	}
	for _, step := range steps {
		status, body := call(c, s, step.method, step.path, step.body)
		c.Check(status, qt.Equals, step.status, qt.Commentf("%s %s: %s", step.method, step.path, body))
		c.Check(body, qt.Contains, step.contains)
	}
	c.Check(s.Calls().Total, qt.Equals, uint64(len(steps)))
	c.Check(s.Calls().Writes, qt.Equals, uint64(10))
}

func TestWatchWakesOnChange(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, platform.Faults{})
	got := make(chan string, 1)
	go func() {
		_, body := call(c, s, "GET", "/v1/watch/customer?after=0&wait=30s", "")
		got <- body
	}()
	for s.Calls().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := s.Put("customer", "x", 1)
	c.Assert(err, qt.IsNil)
	c.Check(<-got, qt.Contains, `"name":"x"`)
}

func TestFaults(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, platform.Faults{DropResponses: 1, WritesPerSec: 1})
	status, _ := call(c, s, "PUT", "/v1/objects/usage/a?if_version=0", "1")
	c.Check(status, qt.Equals, 0)
	status, body := call(c, s, "GET", "/v1/objects/usage/a", "")
	c.Check(status, qt.Equals, 200, qt.Commentf("the dropped write took effect: %s", body))
	status, _ = call(c, s, "PUT", "/v1/objects/usage/a?if_version=1", "2")
	c.Check(status, qt.Equals, 429)
	s.UpdateFaults(func(f *platform.Faults) { f.Outage = platform.OutageRefuse })
	status, _ = call(c, s, "GET", "/v1/objects/usage/a", "")
	c.Check(status, qt.Equals, 0)
}

func TestHostListLags(t *testing.T) {
	c := qt.New(t)
	const lag = 50 * time.Millisecond
	s := startServer(c, platform.Faults{HostLag: lag})
	began := time.Now()
	_, err := s.Put("host", "h1", map[string]string{"state": "live"})
	c.Assert(err, qt.IsNil)
	_, body := call(c, s, "GET", "/v1/objects/host", "")
	if time.Since(began) < lag {
		c.Check(body, qt.Contains, `"objects":[]`)
	}
	_, body = call(c, s, "GET", "/v1/watch/host?after=0&wait=30s", "")
	c.Check(time.Since(began) >= lag, qt.IsTrue)
	var changes wire.Changes
	c.Assert(json.Unmarshal([]byte(body), &changes), qt.IsNil)
	c.Check(changes.Changes, qt.HasLen, 1)
}
