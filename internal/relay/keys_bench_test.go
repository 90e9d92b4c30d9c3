package relay

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// manyCustomers returns a configuration of the size to design for, and a server with a
// host's share of the sessions.
func manyCustomers(b *testing.B) (*Server, *catalog.Configuration) {
	var customers []catalog.Customer
	for i := range 14_000 {
		customers = append(customers, catalog.Customer{ID: topology.CustomerID(fmt.Sprintf("c%d", i)), Keys: []string{fmt.Sprintf("key-%d", i)}})
	}
	c := &catalog.Configuration{Version: 1, Routes: map[string]catalog.Route{"db": {Database: "db"}}, CustomersKnown: true}
	c.SetCustomers(customers)
	s := NewServer(Options{Catalog: &versions{config: c}, Log: logr.Discard()})
	for i := range 2_667 {
		session := s.newSession(&scriptedCaller{})
		session.database, session.key = "db", fmt.Sprintf("key-%d", i)
		session.credentials.Store(&credentials{database: "db", key: session.key})
		s.sessions[session] = true
	}
	b.ReportAllocs()
	b.ResetTimer()
	return s, c
}

// BenchmarkApplyKeys measures what a new version that removes no key costs a host.
func BenchmarkApplyKeys(b *testing.B) {
	s, c := manyCustomers(b)
	for b.Loop() {
		s.applyKeys(c, c)
	}
}

// BenchmarkCheckKey measures the check of one statement.
func BenchmarkCheckKey(b *testing.B) {
	s, _ := manyCustomers(b)
	st := statement.Statement{Kind: statement.Read}
	for session := range s.sessions {
		for b.Loop() {
			if _, refused := session.checkKey(&st); refused {
				b.Fatal("refused")
			}
		}
		return
	}
}
