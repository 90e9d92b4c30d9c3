package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/steady"
)

const (
	slowLinkRate  = 10e6 / 8 // bytes per second: 10 Mbit/s
	slowLinkChunk = 8 << 10  // bytes
	routeBytes    = 164      // of one route in the configuration's JSON
)

// slowLink limits the data that all connections of a host receive together.
type slowLink struct {
	limiter  *rate.Limiter
	received atomic.Int64 // bytes
}

func newSlowLink(bytesPerSecond rate.Limit) *slowLink {
	return &slowLink{limiter: rate.NewLimiter(bytesPerSecond, slowLinkChunk)}
}

func (l *slowLink) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	return &slowConn{Conn: conn, link: l}, err
}

// slowConn is a connection over a slowLink.
type slowConn struct {
	net.Conn
	link *slowLink
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), slowLinkChunk)])
	c.link.received.Add(int64(n))
	if waitErr := c.link.limiter.WaitN(context.Background(), n); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// startStore serves a configuration of the given number of routes and counts the reads.
func startStore(c *qt.C, routes int) (addr string, reads *atomic.Int64) {
	reads = &atomic.Int64{}
	body := fmt.Sprintf(`{"kind":"config","name":"main","version":1,"value":"%s"}`, strings.Repeat("x", routes*routeBytes))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads.Add(1)
		_, _ = w.Write([]byte(body)) // fails if the client gives up, which the test sees by itself
	}))
	c.Cleanup(server.Close)
	return server.Listener.Addr().String(), reads
}

// pollUntilStored polls until a configuration is stored or the time is up.
func pollUntilStored(c *qt.C, client *platform.Client, timeLimit time.Duration) *Store {
	s := NewStore()
	f := &ConfigurationFeed{Name: "main", Store: s, Log: logr.Discard(), Decode: func(json.RawMessage) (*Configuration, error) {
		return &Configuration{Version: 7}, nil
	}}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	c.Cleanup(cancel)
	changed := s.Changed()
	go f.Poll(ctx, client, "config", ConfigurationSchedule(3*time.Second), func() int { return 0 })
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return s
}

// A read that takes longer than a fixed time must not be given up and begun again while
// its data arrives.
func TestPollReadsLargeConfigurationOverSlowLink(t *testing.T) {
	for _, test := range []struct {
		routes int
		rate   rate.Limit
	}{{14_000, slowLinkRate}, {4_266, slowLinkRate / 2}, {4_266, slowLinkRate / 5}} {
		t.Run(fmt.Sprintf("%d routes, %.0f bytes per second", test.routes, test.rate), func(t *testing.T) {
			c := qt.New(t)
			addr, reads := startStore(c, test.routes)
			link := newSlowLink(test.rate)
			client := platform.New(platform.Options{Addr: addr, CallTimeout: time.Second, Dial: link.dial})
			c.Cleanup(client.Close)
			startedAt := steady.Now()
			s := pollUntilStored(c, client, 10*time.Second)
			c.Logf("%.1f s, %d reads, %d KB received", steady.Now().Sub(startedAt).Seconds(), reads.Load(), link.received.Load()>>10)
			c.Check(s.Configuration(), qt.IsNotNil)
			c.Check(reads.Load(), qt.Equals, int64(1))
		})
	}
}
