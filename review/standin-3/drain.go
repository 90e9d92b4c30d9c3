package main

import (
	"fmt"
	"time"
)

func init() { cases["drain"] = drainCase }

// drainCase: a replica that leaves is cut off from all hosts and the store, not from its
// primary; the other replica receives nothing for a while and the primary crashes meanwhile;
// all hosts are killed.
func drainCase(recordPath string, trouble bool) int {
	b, g, err := startSmall(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer b.stop()
	writes := b.startWriting(g, 30*time.Second)
	time.Sleep(3 * time.Second)
	primary, leaving, deaf := g.backends["i-svc1-1"], g.backends["i-svc1-2"], g.backends["i-svc1-3"]
	at, set := schedule(), g.set
	b.say("planned: %s reports that it is draining", leaving.id)
	set(func() { leaving.draining = true; leaving.register() })
	if trouble {
		at(0.5)
		b.say("trouble: %s is partitioned from the store and from all hosts, which are refused, for 12 s", leaving.id)
		set(func() { leaving.noStore = true; leaving.refuseHosts() })
		at(8)
		b.say("trouble: %s receives nothing for 6.5 s", deaf.id)
		set(func() { deaf.deaf = true })
		at(9.5)
		b.say("trouble: the primary %s crashes, and all hosts are killed", primary.id)
		primary.crash()
		b.killAll()
		at(10)
		b.startAll()
		at(14.5)
		b.say("%s receives again", deaf.id)
		set(func() { deaf.deaf = false })
	}
	at(14.6) // 7 s after the report and a little longer
	b.say("%s ends; its log goes to a new backend", leaving.id)
	leaving.crash()
	set(func() { leaving.noStore = true })
	if trouble {
		at(16.5)
		b.say("%s starts again with its log", primary.id)
		primary.startAgain(true)
	}
	return writes.verdict()
}
