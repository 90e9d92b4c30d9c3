package relay

import (
	"cmp"
	"slices"

	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// KeysDump describes customers and keys in the state dump.
type KeysDump struct {
	Trust          string         `json:"trust"` // in the configuration, as last assessed
	ConfirmedMS    int64          `json:"confirmed_ms_ago"`
	Strict         bool           `json:"strict"`
	TimeoutMS      int64          `json:"timeout_ms"`
	CustomersKnown bool           `json:"customers_known"` // false: the configuration came through a host of an earlier version
	Customers      []CustomerDump `json:"customers"`       // sorted by name
}

// CustomerDump describes one customer. It shows no key.
type CustomerDump struct {
	Customer topology.CustomerID `json:"customer"`
	Keys     int                 `json:"keys"`
	Priority int                 `json:"priority"`
	Rate     float64             `json:"rate"` // operations per second over all hosts; 0: no limit
	Burst    float64             `json:"burst"`
	Sessions int                 `json:"sessions"` // on this host
}

// DumpKeys returns the state of customers and keys, or nil if there are no customers.
func (s *Server) DumpKeys() *KeysDump {
	c := s.opts.Catalog.Configuration()
	if c == nil || len(c.Customers) == 0 {
		return nil
	}
	sessions := map[topology.CustomerID]int{}
	s.mu.Lock()
	for session := range s.sessions {
		if id := session.credentials.Load(); id != nil {
			customer, _ := keys.Check(c, id.routeIsPublic(c), id.key)
			sessions[customer]++
		}
	}
	s.mu.Unlock()
	d := &KeysDump{
		Trust: s.trust.get().String(), ConfirmedMS: s.confirmationAge().Milliseconds(), Strict: s.opts.Revocation.Strict,
		TimeoutMS: s.opts.Revocation.Timeout.Milliseconds(), CustomersKnown: c.CustomersKnown,
	}
	for id, customer := range c.Customers {
		d.Customers = append(d.Customers, CustomerDump{Customer: id, Keys: len(customer.Keys), Priority: customer.Priority,
			Rate: customer.Rate, Burst: customer.Burst, Sessions: sessions[id]})
	}
	slices.SortFunc(d.Customers, func(a, b CustomerDump) int { return cmp.Compare(a.Customer, b.Customer) })
	return d
}

// KeyTrust returns how far the configuration was trusted when it was last assessed, or 0 if
// it wasn't because there are no customers.
func (s *Server) KeyTrust() keys.Trust { return s.trust.get() }
