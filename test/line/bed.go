package line

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	store "nettlewalk.example/nettlewalk/test/standin/platform"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	hostCount         = 3
	eventuallyTimeout = 20 * time.Second
)

// Bed is a test bed: a configuration store, a group of three targets, a server
// for promotion calls and host processes of the product.
type Bed struct {
	Store *store.Server
	// StoreLink connects all hosts to the store. The hosts share one link because
	// the peer key must be equal on all hosts and is derived from the addresses of
	// the store and the promotion API.
	StoreLink *testbed.Link
	Hosts     []*Host
	Members   []*Member

	tb              testing.TB
	opts            Options
	lateOrders      int           // number of promotion calls to leave without an answer
	lateBy          time.Duration // after which those calls are carried out
	ipPrefix        string        // first three octets of the hosts' addresses
	promotionDelay  time.Duration // delay between the promotion call and its effect
	promotionServer *httptest.Server
	mu              sync.Mutex
	customers       map[string]bool // names of all customers so far
	keys            map[string]bool // all keys so far
	highestToken    uint64          // highest fencing token seen
	promotions      []string        // targets of the accepted promotion calls, in order
	tokens          []uint64        // fencing tokens of all promotion calls, in order
	closed          bool            // the test has ended: later promotions are ignored
}

// Options configures a Bed.
type Options struct {
	// Unfenced makes a replaced primary lead on until it is demoted, and the platform
	// accept any fencing token.
	Unfenced bool
	// IgnoreDemote makes targets ignore DEMOTE.
	IgnoreDemote bool
	// MaxConnections is the limit for each target over all hosts; 0 means 16.
	MaxConnections int
	// ConfigApplyMS, StrictRevocation and RevokeTimeoutMS are settings of the hosts; 0
	// means their default.
	ConfigApplyMS    int
	StrictRevocation bool
	RevokeTimeoutMS  int
	// DrainTimeoutMS is how long targets serve after they have reported that they leave; 0
	// means 7000.
	DrainTimeoutMS int
	// SpreadTargets puts the targets into the hosts' failure domains, one each.
	SpreadTargets bool
	// Relays puts a relay, which can refuse connections, between the hosts and each target's
	// link.
	Relays bool
	// HostArgs are further arguments of nettlewalk serve.
	HostArgs []string
}

// NewBed starts all components and waits until the group has a leader. It stops
// them when tb ends.
func NewBed(tb testing.TB) *Bed { return NewBedWith(tb, Options{}) }

// NewBedWith is like NewBed with options.
func NewBedWith(tb testing.TB, opts Options) *Bed {
	tb.Helper()
	if opts.MaxConnections == 0 {
		opts.MaxConnections = 16
	}
	b := &Bed{tb: tb, opts: opts, customers: map[string]bool{}, keys: map[string]bool{}, ipPrefix: testbed.IPPrefix(), promotionDelay: 100 * time.Millisecond}
	var err error
	b.Store, err = store.Start(store.Config{})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(b.Store.Close)
	b.StoreLink = b.link("store", b.Store.Addr)
	b.promotionServer = httptest.NewServer(http.HandlerFunc(b.servePromotion))
	tb.Cleanup(b.promotionServer.Close)
	b.startTargets()
	tb.Cleanup(func() { // runs before the targets close: cleanups run in reverse order
		b.mu.Lock()
		defer b.mu.Unlock()
		b.closed = true
	})
	b.Configure(1, "db")
	b.startHosts()
	return b
}

// link opens a link to a listener and closes it when the test ends.
func (b *Bed) link(name, listenerAddr string) *testbed.Link {
	l, err := testbed.NewLink(name, listenerAddr)
	qt.Assert(b.tb, err, qt.IsNil)
	b.tb.Cleanup(l.Close)
	return l
}

// Eventually polls until ok returns true, and fails the test after
// eventuallyTimeout. The description goes into the failure message.
func (b *Bed) Eventually(what string, ok func() bool) {
	b.tb.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !ok(); {
		qt.Assert(b.tb, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
		<-time.After(20 * time.Millisecond)
	}
}
