package main

import (
	"fmt"
	"time"
)

func init() { cases["reborn"] = rebornCase }

// rebornCase: one replica receives nothing for a while and the primary crashes meanwhile; the
// other replica crashes behind a cut from the store and starts again; all hosts are killed.
func rebornCase(recordPath string, trouble bool) int {
	b, g, err := startSmall(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer b.stop()
	writes := b.startWriting(g, 20*time.Second)
	time.Sleep(3 * time.Second)
	primary, cutOff, deaf := g.backends["i-svc1-1"], g.backends["i-svc1-2"], g.backends["i-svc1-3"]
	if trouble {
		at, set := schedule(), g.set
		b.say("trouble: %s receives nothing", deaf.id)
		set(func() { deaf.deaf = true })
		at(2)
		b.say("trouble: %s is partitioned from the store, and crashes", cutOff.id)
		set(func() { cutOff.register(); cutOff.noStore = true })
		cutOff.crash()
		at(2.1)
		b.say("trouble: the primary %s crashes, and all hosts are killed", primary.id)
		primary.crash()
		b.killAll()
		at(2.6)
		b.startAll()
		b.say("the hosts start again, and %s does under its id, without its log", cutOff.id)
		cutOff.startAgain(false)
		at(6.5)
		b.say("%s receives again", deaf.id)
		set(func() { deaf.deaf = false })
		at(7)
		b.say("the cut of %s from the store ends", cutOff.id)
		set(func() { cutOff.noStore = false })
		at(9.1)
		b.say("%s starts again with its log", primary.id)
		primary.startAgain(true)
	}
	return writes.verdict()
}
