package testbed

import (
	"context"
	"sync"

	"github.com/Shopify/toxiproxy/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kind is the role of a process in the deployment.
type Kind string

// Kinds of processes.
const (
	KindHost     Kind = "host"
	KindTarget   Kind = "target"
	KindPlatform Kind = "platform"
	KindCaller   Kind = "caller"
)

// Node is a network endpoint: a process of the deployment, or the callers.
type Node struct {
	Name   string
	Kind   Kind
	Domain topology.Domain
	IP     string
}

// Network is the set of all links of a Bed.
type Network struct {
	server *toxiproxy.ApiServer
	plan   *Plan

	mu    sync.Mutex
	links []*Link
}

func newNetwork(plan *Plan) *Network {
	return &Network{server: newProxyServer(), plan: plan}
}

// addLink creates a link from one node to a listener of another, unless the plan
// disables links, and returns the address that from must dial.
func (n *Network) addLink(from, to *Node, listenerAddr string) (string, error) {
	if n.plan.NoLinks {
		return listenerAddr, nil
	}
	link, err := newLink(n.server, from, to, listenerAddr, n.delay(from, to))
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, link)
	return link.Addr(), nil
}

func (n *Network) delay(from, to *Node) Delay {
	switch {
	case from.Kind == KindCaller:
		return n.plan.ClientDelay
	case from.Domain == to.Domain:
		return Delay{}
	default:
		return n.plan.DomainDelay
	}
}

// Match reports whether a link is selected.
type Match func(l *Link) bool

// Each calls f for every link that match selects. It stops at the first error and
// returns it.
func (n *Network) Each(match Match, f func(*Link) error) error {
	n.mu.Lock()
	links := append([]*Link(nil), n.links...)
	n.mu.Unlock()
	for _, l := range links {
		if !match(l) {
			continue
		}
		if err := f(l); err != nil {
			return err
		}
	}
	return nil
}

// Cut blocks all data on the matching links.
func (n *Network) Cut(match Match) error {
	return n.Each(match, func(l *Link) error { return l.Cut(Upstream, Downstream) })
}

// Silence permanently blocks the open connections of the matching links. New
// connections work.
func (n *Network) Silence(match Match) error {
	return n.Each(match, func(l *Link) error { return l.Silence() })
}

// Heal removes the cuts of all links.
func (n *Network) Heal(ctx context.Context) error {
	return n.Each(Any, func(l *Link) error { return l.Heal(ctx) })
}

// Any matches every link.
func Any(*Link) bool { return true }

// AcrossDomain returns a Match for the links that cross the boundary of the failure
// domain. It excludes callers' links, because callers belong to no domain.
func AcrossDomain(d topology.Domain) Match {
	return func(l *Link) bool {
		if l.From.Kind == KindCaller {
			return false
		}
		return (l.From.Domain == d) != (l.To.Domain == d)
	}
}

// Touching returns a Match for all links to and from the named process.
func Touching(name string) Match {
	return func(l *Link) bool { return l.From.Name == name || l.To.Name == name }
}

// Between returns a Match for the links, in either direction, between the named
// process and processes of a kind.
func Between(name string, kind Kind) Match {
	return func(l *Link) bool {
		return l.From.Name == name && l.To.Kind == kind || l.To.Name == name && l.From.Kind == kind
	}
}

// OfKinds returns a Match for the links from processes of one kind to processes of
// another kind.
func OfKinds(from, to Kind) Match {
	return func(l *Link) bool { return l.From.Kind == from && l.To.Kind == to }
}

func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.close()
	}
}
