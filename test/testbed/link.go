package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Directions of a fault, as seen from the side that dials.
const (
	Upstream   = "upstream"   // what the dialing side sends
	Downstream = "downstream" // what the dialing side receives
)

// Link is the path from one process to another's listener. Its listener stays;
// behind it stands a proxy that is replaced when open connections go silent.
type Link struct {
	From, To *Node
	server   *toxiproxy.ApiServer
	delay    Delay
	listener net.Listener
	upstream string

	mu     sync.Mutex
	proxy  *toxiproxy.Proxy
	silent []*toxiproxy.Proxy
	cuts   map[string]bool // by direction
}

func newLink(server *toxiproxy.ApiServer, from, to *Node, upstream string, delay Delay) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "link listener")
	}
	l := &Link{From: from, To: to, server: server, delay: delay, listener: listener, upstream: upstream, cuts: map[string]bool{}}
	l.proxy, err = l.newProxy()
	if err != nil {
		listener.Close()
		return nil, err
	}
	go l.accept()
	return l, nil
}

// NewLink returns a link before a listener that belongs to no bed.
func NewLink(name, listener string) (*Link, error) {
	return newLink(newProxyServer(), &Node{Name: "any"}, &Node{Name: name}, listener, Delay{})
}

// Close ends the link and its connections.
func (l *Link) Close() { l.close() }

// Reset closes the open connections; new ones work, without cuts.
func (l *Link) Reset() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.proxy
	fresh, err := l.newProxy()
	if err != nil {
		return err
	}
	l.proxy, l.cuts = fresh, map[string]bool{}
	old.Stop()
	return nil
}

// Addr returns the address that the dialing side uses.
func (l *Link) Addr() string { return l.listener.Addr().String() }

func (l *Link) newProxy() (*toxiproxy.Proxy, error) {
	p := toxiproxy.NewProxy(l.server, fmt.Sprintf("%s-%s", l.From.Name, l.To.Name), "127.0.0.1:0", l.upstream)
	if err := p.Start(); err != nil {
		return nil, errors.Wrap(err, "link proxy")
	}
	if err := addDelay(p, Upstream, l.delay.To); err != nil {
		return nil, err
	}
	if err := addDelay(p, Downstream, l.delay.From); err != nil {
		return nil, err
	}
	return p, nil
}

// toxic is toxiproxy's form of a fault.
type toxic struct {
	Name       string           `json:"name"`
	Type       string           `json:"type"`
	Stream     string           `json:"stream"`
	Attributes map[string]int64 `json:"attributes"`
}

func addToxic(p *toxiproxy.Proxy, t toxic) error {
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	_, err = p.Toxics.AddToxicJson(strings.NewReader(string(body)))
	return errors.Wrapf(err, "toxic %s", t.Name)
}

func addDelay(p *toxiproxy.Proxy, stream string, ms int64) error {
	if ms == 0 {
		return nil
	}
	return addToxic(p, toxic{Name: "delay-" + stream, Type: "latency", Stream: stream, Attributes: map[string]int64{"latency": ms}})
}

func addCut(p *toxiproxy.Proxy, stream string) error {
	return addToxic(p, toxic{Name: "cut-" + stream, Type: "timeout", Stream: stream, Attributes: map[string]int64{"timeout": 0}})
}

// accept passes each connection to the proxy in force when it was opened.
func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(client)
	}
}

func (l *Link) relay(client net.Conn) {
	defer client.Close()
	l.mu.Lock()
	addr := l.proxy.Listen
	l.mu.Unlock()
	upstream, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(upstream, client)
		upstream.Close()
	}()
	_, _ = io.Copy(client, upstream)
	client.Close()
	<-done
}

// Cut stops all data in the given directions, on open and new connections.
func (l *Link) Cut(directions ...string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		if l.cuts[d] {
			continue
		}
		if err := addCut(l.proxy, d); err != nil {
			return err
		}
		l.cuts[d] = true
	}
	return nil
}

// Heal ends all cuts. Connections that were cut close.
func (l *Link) Heal(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for d := range l.cuts {
		if err := l.proxy.Toxics.RemoveToxic(ctx, "cut-"+d); err != nil {
			return errors.Wrap(err, "heal")
		}
		delete(l.cuts, d)
	}
	return nil
}

// Silence makes the open connections carry nothing for good, without closing
// them, while new ones work.
func (l *Link) Silence() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.proxy
	fresh, err := l.newProxy()
	if err != nil {
		return err
	}
	l.proxy = fresh
	l.silent = append(l.silent, old)
	l.cuts = map[string]bool{}
	if err := addCut(old, Upstream); err != nil {
		return err
	}
	return addCut(old, Downstream)
}

// Slow adds a delay of ms in each direction until Heal of the network.
func (l *Link) Slow(ms int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := addToxic(l.proxy, toxic{Name: "slow-up", Type: "latency", Stream: Upstream, Attributes: map[string]int64{"latency": ms}}); err != nil {
		return err
	}
	return addToxic(l.proxy, toxic{Name: "slow-down", Type: "latency", Stream: Downstream, Attributes: map[string]int64{"latency": ms}})
}

// Unslow removes what Slow added.
func (l *Link) Unslow(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.proxy.Toxics.RemoveToxic(ctx, "slow-up"); err != nil {
		return err
	}
	return l.proxy.Toxics.RemoveToxic(ctx, "slow-down")
}

func (l *Link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range append(l.silent, l.proxy) {
		p.Stop()
	}
}

func newProxyServer() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
}
