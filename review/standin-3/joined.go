package main

import (
	"fmt"
	"net"
	"slices"
	"time"
)

func init() { cases["joined"] = joinedCase }

// joinedCase: a replica leaves, and the new backend at its address, which has its log, is cut
// off from all hosts and the store from its start, not from its primary; the other replica
// receives nothing for a while and the primary crashes meanwhile; all hosts are killed.
func joinedCase(recordPath string, trouble bool) int {
	b, g, err := startSmall(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer b.stop()
	writes := b.startWriting(g, 32*time.Second)
	time.Sleep(3 * time.Second)
	primary, leaving, deaf := g.backends["i-svc1-1"], g.backends["i-svc1-2"], g.backends["i-svc1-3"]
	at, set := schedule(), g.set
	b.say("planned: %s reports that it is draining", leaving.id)
	set(func() { leaving.draining = true; leaving.register() })
	at(7.3)
	b.say("planned: %s ends, and a new backend at its address has its log", leaving.id)
	leaving.crash()
	set(func() {
		leaving.noStore, leaving.beatAt = true, time.Time{}
		b.store.remove("servers", leaving.id) // it has left
	})
	next := g.join("i-svc1-4", leaving, trouble)
	if trouble {
		b.say("trouble: %s is partitioned from the store and from all hosts, which are refused, for 12 s", next.id)
		at(12)
		b.say("trouble: %s receives nothing for 6.5 s", deaf.id)
		set(func() { deaf.deaf = true })
		at(13.5)
		b.say("trouble: the primary %s crashes, and all hosts are killed", primary.id)
		primary.crash()
		b.killAll()
		at(14)
		b.startAll()
		at(18.5)
		b.say("%s receives again", deaf.id)
		set(func() { deaf.deaf = false })
		at(19.3)
		b.say("the cut of %s ends", next.id)
		next.endCut()
		at(20.5)
		b.say("%s starts again with its log", primary.id)
		primary.startAgain(true)
	}
	return writes.verdict()
}

// join starts a backend at the address of one that has left, with its log. One that is cut off
// is reached by no host, and doesn't reach the store.
func (g *group) join(id string, left *backend, cutOff bool) *backend {
	b := &backend{g: g, id: id, addr: left.addr, zone: left.zone, work: make(chan struct{}, g.slots), up: true, noStore: cutOff}
	b.conns, b.born = map[net.Conn]bool{}, time.Now().UnixMilli()
	g.set(func() {
		b.log, b.applied = slices.Clone(left.log), len(left.log)
		g.backends[id] = b
		g.record("%s starts with %d commits in its log", id, len(b.log))
	})
	if !cutOff {
		b.endCut()
	}
	go b.beat()
	return b
}

// endCut makes a backend reachable for hosts and the store.
func (b *backend) endCut() {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		b.g.record("%s can't listen: %v", b.id, err)
		return
	}
	b.g.set(func() { b.listener, b.noStore = l, false })
	go b.accept(l)
}
