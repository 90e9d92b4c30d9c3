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

// Directions of a fault, relative to the client of the connection.
const (
	Upstream   = "upstream"   // from the client to the server
	Downstream = "downstream" // from the server to the client
)

// Link forwards connections from one process to a listener of another process and
// injects faults. Its own listener is permanent; the proxy behind the listener is
// replaced by Silence and Reset.
type Link struct {
	From, To     *Node
	server       *toxiproxy.ApiServer
	delay        Delay
	listener     net.Listener
	upstreamAddr string

	mu              sync.Mutex
	proxy           *toxiproxy.Proxy
	silencedProxies []*toxiproxy.Proxy
	cuts            map[string]bool // blocked directions
}

func newLink(server *toxiproxy.ApiServer, from, to *Node, upstreamAddr string, delay Delay) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for link")
	}
	l := &Link{From: from, To: to, server: server, delay: delay, listener: listener, upstreamAddr: upstreamAddr, cuts: map[string]bool{}}
	l.proxy, err = l.newProxy()
	if err != nil {
		listener.Close()
		return nil, err
	}
	go l.accept()
	return l, nil
}

// NewLink returns a link to a listener that is not part of a Bed.
func NewLink(name, listenerAddr string) (*Link, error) {
	return newLink(newProxyServer(), &Node{Name: "any"}, &Node{Name: name}, listenerAddr, Delay{})
}

// Close closes the link and its connections.
func (l *Link) Close() { l.close() }

// Reset closes the open connections and removes all faults for new connections.
func (l *Link) Reset() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.proxy
	replacement, err := l.newProxy()
	if err != nil {
		return err
	}
	l.proxy, l.cuts = replacement, map[string]bool{}
	old.Stop()
	return nil
}

// Addr returns the address that clients dial.
func (l *Link) Addr() string { return l.listener.Addr().String() }

func (l *Link) newProxy() (*toxiproxy.Proxy, error) {
	p := toxiproxy.NewProxy(l.server, fmt.Sprintf("%s-%s", l.From.Name, l.To.Name), "127.0.0.1:0", l.upstreamAddr)
	if err := p.Start(); err != nil {
		return nil, errors.Wrap(err, "start link proxy")
	}
	if err := addDelay(p, Upstream, l.delay.To); err != nil {
		return nil, err
	}
	if err := addDelay(p, Downstream, l.delay.From); err != nil {
		return nil, err
	}
	return p, nil
}

// toxic is the JSON representation of a fault in toxiproxy.
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
	return errors.Wrapf(err, "add toxic %s", t.Name)
}

func addDelay(p *toxiproxy.Proxy, stream string, latencyMs int64) error {
	if latencyMs == 0 {
		return nil
	}
	return addToxic(p, toxic{Name: "delay-" + stream, Type: "latency", Stream: stream, Attributes: map[string]int64{"latency": latencyMs}})
}

func addCut(p *toxiproxy.Proxy, stream string) error {
	return addToxic(p, toxic{Name: "cut-" + stream, Type: "timeout", Stream: stream, Attributes: map[string]int64{"timeout": 0}})
}

// accept forwards each new connection to the current proxy. The connection keeps
// that proxy when the link's proxy is replaced.
func (l *Link) accept() {
	for {
		clientConn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(clientConn)
	}
}

// forward copies data between a client and the current proxy until either side
// closes its connection.
func (l *Link) forward(clientConn net.Conn) {
	defer clientConn.Close()
	l.mu.Lock()
	addr := l.proxy.Listen
	l.mu.Unlock()
	proxyConn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer proxyConn.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(proxyConn, clientConn)
		proxyConn.Close()
	}()
	_, _ = io.Copy(clientConn, proxyConn)
	clientConn.Close()
	<-done
}

// Cut blocks all data in the given directions, on open and new connections. The
// connections stay open.
func (l *Link) Cut(directions ...string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, direction := range directions {
		if l.cuts[direction] {
			continue
		}
		if err := addCut(l.proxy, direction); err != nil {
			return err
		}
		l.cuts[direction] = true
	}
	return nil
}

// Heal removes all cuts. It closes the connections that were cut.
func (l *Link) Heal(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for direction := range l.cuts {
		if err := l.proxy.Toxics.RemoveToxic(ctx, "cut-"+direction); err != nil {
			return errors.Wrap(err, "heal")
		}
		delete(l.cuts, direction)
	}
	return nil
}

// Silence permanently blocks all data on the open connections without closing
// them. New connections work.
func (l *Link) Silence() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.proxy
	replacement, err := l.newProxy()
	if err != nil {
		return err
	}
	l.proxy = replacement
	l.silencedProxies = append(l.silencedProxies, old)
	l.cuts = map[string]bool{}
	if err := addCut(old, Upstream); err != nil {
		return err
	}
	return addCut(old, Downstream)
}

// Slow adds a latency of latencyMs in each direction until Unslow.
func (l *Link) Slow(latencyMs int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := addToxic(l.proxy, toxic{Name: "slow-up", Type: "latency", Stream: Upstream, Attributes: map[string]int64{"latency": latencyMs}}); err != nil {
		return err
	}
	return addToxic(l.proxy, toxic{Name: "slow-down", Type: "latency", Stream: Downstream, Attributes: map[string]int64{"latency": latencyMs}})
}

// Unslow removes the latency that Slow added.
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
	for _, p := range append(l.silencedProxies, l.proxy) {
		p.Stop()
	}
}

func newProxyServer() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
}
