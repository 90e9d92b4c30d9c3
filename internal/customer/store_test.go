package customer_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// list returns a platform list.
func list(revision uint64, objects ...platform.Object) platform.List {
	return platform.List{Revision: revision, Objects: objects}
}

func object(name string, version uint64, value string) platform.Object {
	return platform.Object{Name: name, Version: version, Value: json.RawMessage(value)}
}

// change returns a platform change of one object.
func change(revision uint64, o platform.Object) platform.Changes {
	return platform.Changes{Revision: revision, Changes: []platform.Change{{Object: o}}}
}

// newFilledStore returns a store with template t, customer a of template t,
// and no groups.
func newFilledStore() *customer.Store {
	s := customer.NewStore(logr.Discard(), nil)
	s.Reset("template", list(1, object("t", 1, `{"parameters":{"rate":1,"queue":7}}`)))
	s.Reset("customer", list(1, object("a", 1, `{"template":"t","databases":{"db":"g"},"parameters":{"queue":3}}`)))
	s.Reset("group", list(0))
	return s
}

func TestTemplateChangeAppliesToCustomers(t *testing.T) {
	s := newFilledStore()
	qt.Assert(t, s.Ready(), qt.IsTrue)
	changed := s.Changed()
	s.Apply("template", change(2, object("t", 2, `{"parameters":{"rate":2,"queue":9},"edits":[{"id":"x","base":1}]}`)))
	<-changed
	c, ok := s.Customer("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, c.Limits.Rate, qt.Equals, 2.0)
	qt.Check(t, c.Limits.Queue, qt.Equals, 3)
	qt.Check(t, c.TemplateVersion, qt.Equals, uint64(2))
}

func TestInvalidVersionsKeepLastGoodActive(t *testing.T) {
	s := newFilledStore()
	s.Apply("template", change(2, object("t", 2, `{"parameters":{"rate":-2}}`)))
	s.Apply("customer", change(2, object("a", 2, `{"nonsense":true}`)))
	s.Apply("customer", change(3, object("a", 3, `[]`)))
	c, ok := s.Customer("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, c.Version, qt.Equals, uint64(1))
	qt.Check(t, c.Limits.Rate, qt.Equals, 1.0)
	s.Apply("customer", change(4, object("a", 4, `{"deleted":true}`)))
	_, ok = s.Customer("a")
	qt.Check(t, ok, qt.IsFalse)
}

func TestHostListenersAreNotified(t *testing.T) {
	s := customer.NewStore(logr.Discard(), nil)
	var notified [][]topology.Host
	s.OnHostsChange(func(hosts []topology.Host) { notified = append(notified, hosts) })
	s.Reset("host", list(1, object("h1", 1, `{"id":"h1","state":"live"}`)))
	s.Apply("host", change(2, object("h1", 2, `{"id":"h1","state":"gone"}`)))
	s.Apply("host", change(2, object("h1", 2, `{"id":"h1","state":"live"}`)))
	qt.Assert(t, notified, qt.HasLen, 2)
	qt.Check(t, notified[0], qt.HasLen, 1)
	qt.Check(t, notified[1], qt.HasLen, 0)
}
