package relay

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// versions holds the configuration in force and notifies of changes, like catalog.Store.
type versions struct {
	mu      sync.Mutex
	config  *catalog.Configuration
	changed chan struct{}
}

func (v *versions) Configuration() *catalog.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

func (v *versions) notify() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// set puts a new version with these customers into force.
func (v *versions) set(customers ...catalog.Customer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.config
	next.Version++
	next.Customers, next.KeyOwners = nil, nil
	next.SetCustomers(customers)
	v.config = &next
	close(v.changed)
	v.changed = make(chan struct{})
}

var (
	acme       = catalog.Customer{ID: "acme", Keys: []string{"k1"}}
	bolt       = catalog.Customer{ID: "bolt", Keys: []string{"k2"}}
	acmeNoKey  = catalog.Customer{ID: "acme"}
	boltBoth   = catalog.Customer{ID: "bolt", Keys: []string{"k1", "k2"}}
	rollbackTx = statement.Statement{Kind: statement.Rollback, Text: "ROLLBACK"}
	setValue   = statement.Statement{Kind: statement.Set, Name: "tz", Value: "utc", Text: "SET tz utc"}
)

// withCustomers puts customers into the fixture's configuration and gives its session the
// key.
func (f *fixture) withCustomers(key string, customers ...catalog.Customer) *versions {
	v := &versions{config: f.config, changed: make(chan struct{})}
	v.set(customers...)
	f.server.opts.Catalog = v
	// With customers, a holder has about 8 connections to a target. A pool of the
	// fixture's 2 would open only 2 a second for customers that have none.
	f.group.SetMembers([]catalog.Member{f.member("p"), f.member("r")}, func(topology.Target) int { return 8 })
	f.key = key
	f.credentials.Store(&credentials{database: f.database, key: key})
	return v
}

// cutOff makes the server believe that the newest confirmation is that old.
func (f *fixture) cutOff(policy keys.Policy, age time.Duration) {
	f.server.opts.Revocation = policy
	f.server.opts.ConfirmedAt = func() time.Time { return steady.Now().Add(-age) }
}

// runForwarded returns the answer to a statement that another host forwards.
func (f *fixture) runForwarded(args *RunArgs) statement.Answer {
	a, _ := f.server.runForwarded(args)
	return a
}
