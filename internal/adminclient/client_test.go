package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

func TestAssign(t *testing.T) {
	tests := []struct {
		value       string
		assignments []string
		want        string
	}{
		{`{}`, []string{"parameters.rate=5", "description=on call"}, `{"description":"on call","parameters":{"rate":5}}`},
		{`{"parameters":{"rate":5,"queue":1}}`, []string{"parameters.rate="}, `{"parameters":{"queue":1}}`},
		{`{"template":"t"}`, []string{"template.x=1"}, ""},
		{`{}`, []string{"nothing"}, ""},
	}
	for _, test := range tests {
		got, err := Assign(json.RawMessage(test.value), test.assignments)
		qt.Check(t, err == nil, qt.Equals, test.want != "", qt.Commentf("%v: %v", test.assignments, err))
		qt.Check(t, string(got), qt.Equals, test.want)
	}
}

func TestClientEditsThroughTheAPI(t *testing.T) {
	c := qt.New(t)
	platformServer, err := standin.Start(standin.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(platformServer.Close)
	store := customer.NewStore(logr.Discard(), nil)
	for _, kind := range customer.Kinds {
		store.Reset(kind, platform.List{})
	}
	server := admin.New(admin.Options{
		Self:               topology.Host{ID: "h1", Domain: "d"},
		Operators:          []admin.Operator{{Name: "root", Token: "token"}},
		Store:              store,
		Platform:           platform.New(platform.Options{Addr: platformServer.Addr, Caller: "h1"}),
		ConfigurationReady: func() (bool, string) { return store.Ready(), "" },
	})
	httpServer := httptest.NewServer(server.Handler())
	c.Cleanup(httpServer.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := New(httpServer.Listener.Addr().String(), "token")
	_, err = client.Put(ctx, Templates, "t", 0, json.RawMessage(`{}`))
	c.Assert(err, qt.IsNil)
	edited, err := client.Set(ctx, Templates, "t", []string{"parameters.rate=7"})
	c.Assert(err, qt.IsNil)
	c.Check(edited.Version, qt.Equals, uint64(2))
	_, err = client.Delete(ctx, Templates, "t", 1)
	failure, ok := err.(*admin.Failure)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%v", err))
	c.Check(failure.Code, qt.Equals, result.VersionConflict)
	c.Check(failure.Current.Version, qt.Equals, uint64(2))
	var out bytes.Buffer
	list, err := client.List(ctx, Templates)
	c.Assert(err, qt.IsNil)
	c.Assert(PrintObjects(&out, list), qt.IsNil)
	status, err := client.ObjectStatus(ctx, Templates, "t")
	c.Assert(err, qt.IsNil)
	c.Assert(PrintObjectStatus(&out, status), qt.IsNil)
	hostStatus, err := client.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(PrintStatus(&out, hostStatus), qt.IsNil)
	c.Check(out.String(), qt.Contains, `{"parameters":{"rate":7}}`)
	c.Check(out.String(), qt.Contains, "in force on all 1 hosts")
	health, err := client.Health(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(health.State, qt.Equals, admin.Ready)
}
