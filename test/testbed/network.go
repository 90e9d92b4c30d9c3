package testbed

import (
	"context"
	"sync"

	"github.com/Shopify/toxiproxy/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kind is what a process is.
type Kind string

// The kinds of processes.
const (
	KindHost     Kind = "host"
	KindTarget   Kind = "target"
	KindPlatform Kind = "platform"
	KindCaller   Kind = "caller"
)

// Node is one end of links.
type Node struct {
	Name   string
	Kind   Kind
	Domain topology.Domain
	IP     string
}

// Network is all links of a Bed.
type Network struct {
	server *toxiproxy.ApiServer
	plan   *Plan

	mu    sync.Mutex
	links []*Link
}

func newNetwork(plan *Plan) *Network {
	return &Network{server: newProxyServer(), plan: plan}
}

// join returns the address at which from reaches to's listener.
func (n *Network) join(from, to *Node, listener string) (string, error) {
	if n.plan.NoLinks {
		return listener, nil
	}
	link, err := newLink(n.server, from, to, listener, n.delay(from, to))
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

// Match selects links.
type Match func(l *Link) bool

// Each calls f for every link that match selects and returns the first error.
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

// Cut stops all data on the matching links.
func (n *Network) Cut(match Match) error {
	return n.Each(match, func(l *Link) error { return l.Cut(Upstream, Downstream) })
}

// Silence silences the open connections of the matching links.
func (n *Network) Silence(match Match) error {
	return n.Each(match, func(l *Link) error { return l.Silence() })
}

// Heal ends every cut.
func (n *Network) Heal(ctx context.Context) error {
	return n.Each(Any, func(l *Link) error { return l.Heal(ctx) })
}

// Any selects every link.
func Any(*Link) bool { return true }

// AcrossDomain selects the links between a domain and everything outside,
// callers excepted: they stand on both sides.
func AcrossDomain(d topology.Domain) Match {
	return func(l *Link) bool {
		if l.From.Kind == KindCaller {
			return false
		}
		return (l.From.Domain == d) != (l.To.Domain == d)
	}
}

// Touching selects the links of the named process.
func Touching(name string) Match {
	return func(l *Link) bool { return l.From.Name == name || l.To.Name == name }
}

// Between selects the links of the named process to processes of a kind.
func Between(name string, kind Kind) Match {
	return func(l *Link) bool {
		return l.From.Name == name && l.To.Kind == kind || l.To.Name == name && l.From.Kind == kind
	}
}

// OfKinds selects the links from processes of one kind to those of another.
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
