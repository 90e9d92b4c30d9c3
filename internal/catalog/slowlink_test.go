package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/test/slowlink"
)

// routeBytes is the size of one route in the configuration's JSON.
const routeBytes = 164

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
		rate   float64
	}{{14_000, slowlink.TenMbit}, {4_266, slowlink.TenMbit / 2}, {4_266, slowlink.TenMbit / 5}} {
		t.Run(fmt.Sprintf("%d routes, %.0f bytes per second", test.routes, test.rate), func(t *testing.T) {
			c := qt.New(t)
			addr, reads := startStore(c, test.routes)
			link := slowlink.New(test.rate)
			client := platform.New(platform.Options{Addr: addr, CallTimeout: time.Second, Dial: link.Dial})
			c.Cleanup(client.Close)
			startedAt := steady.Now()
			s := pollUntilStored(c, client, 10*time.Second)
			c.Logf("%.1f s, %d reads, %d KB received", steady.Now().Sub(startedAt).Seconds(), reads.Load(), link.Received()>>10)
			c.Check(s.Configuration(), qt.IsNotNil)
			c.Check(reads.Load(), qt.Equals, int64(1))
		})
	}
}
