package customer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// busyParent is a host whose answers to all others share what callers leave of its link.
// An answer that nobody waits for any more is transmitted all the same.
type busyParent struct {
	service        *customer.Service
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time // when the link has transmitted all answers
	sent   int       // bytes
}

// transmit waits until the link has transmitted an answer or ctx has ended.
func (p *busyParent) transmit(ctx context.Context, bytes int) error {
	p.mu.Lock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
	p.sent += bytes
	arrived := time.After(time.Until(p.freeAt))
	p.mu.Unlock()
	select {
	case <-arrived:
		return nil
	case <-ctx.Done():
		return result.New(result.HolderLost, "%s", ctx.Err())
	}
}

// Call implements peer.Caller. Every host is this one.
func (p *busyParent) Call(ctx context.Context, _ topology.HostID, method string, args, reply any) error {
	switch method {
	case customer.ServiceName + ".Page":
		var page customer.Page
		if err := p.service.Page(args.(*customer.PageArgs), &page); err != nil {
			return err
		}
		if err := p.transmit(ctx, sizeOfItems(page.Items)); err != nil {
			return err
		}
		*reply.(*customer.Page) = page
	case customer.ServiceName + ".Pull":
		var pulled customer.PullReply
		if err := p.service.Pull(args.(*customer.PullArgs), &pulled); err != nil {
			return err
		}
		size := 0
		for _, d := range pulled.Deltas {
			size += sizeOfItems(d.Items)
		}
		if err := p.transmit(ctx, size); err != nil {
			return err
		}
		*reply.(*customer.PullReply) = pulled
	}
	return nil
}

// CallAddr implements customer.AddrCaller.
func (p *busyParent) CallAddr(ctx context.Context, _, method string, args, reply any) error {
	return p.Call(ctx, "", method, args, reply)
}

func sizeOfItems(items []customer.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Name) + len(item.Value)
	}
	return size
}

// startChild starts a host that reads the configuration from the parent only.
func startChild(ctx context.Context, wg *sync.WaitGroup, parent *busyParent) *customer.Store {
	store := customer.NewStore(logr.Discard(), nil)
	unreachable := platform.New(platform.Options{Addr: "platform", Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, net.ErrClosed
	}})
	syncer := customer.NewSyncer(customer.SyncerOptions{
		Self:  topology.Host{ID: "child", Domain: "domain-0", State: topology.HostLive},
		Store: store, Client: unreachable, Peers: parent, SeedCaller: parent, Seeds: []string{"parent"},
	})
	wg.Go(func() {
		syncer.Run(ctx)
		unreachable.Close()
	})
	return store
}

// Hosts that start at once must all get the configuration from a parent with a slow
// link, not time out on each other's pages and begin again.
func TestChildrenOfBusyParentLoadConfiguration(t *testing.T) {
	const (
		children       = 8            // the most that have one first source
		bytesPerSecond = 0.8 * 1.25e6 // callers use a fifth of 10 Mbit/s
		timeLimit      = 2 * time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		parent := &busyParent{service: customer.NewService(newFleetStore(450, 1400)), bytesPerSecond: bytesPerSecond}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var stores []*customer.Store
		for range children {
			stores = append(stores, startChild(ctx, &wg, parent))
		}
		startedAt, ready := time.Now(), 0
		for ready < children && time.Since(startedAt) < timeLimit {
			time.Sleep(100 * time.Millisecond)
			ready = 0
			for _, s := range stores {
				if s.Ready() {
					ready++
				}
			}
		}
		took := time.Since(startedAt)
		cancel()
		wg.Wait()
		t.Logf("%d of %d hosts ready after %s, %d KB sent", ready, children, took, parent.sent>>10)
		qt.Check(t, ready, qt.Equals, children)
	})
}
