package main

import (
	"fmt"
	"time"
)

func init() { cases["lateorder"] = lateOrderCase }

// lateOrderCase: the primary crashes; the call for the promotion of a replica gets no answer
// and is carried out later; this replica crashes behind a cut from the store and starts again.
// The other replica and all hosts are sound.
func lateOrderCase(recordPath string, trouble bool) int {
	b, g, err := startSmall(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer b.stop()
	writes := b.startWriting(g, 25*time.Second)
	time.Sleep(3 * time.Second)
	primary := g.backends["i-svc1-1"]
	at, set := schedule(), g.set
	if trouble {
		ordered := make(chan *backend, 1)
		b.lateOrder(4*time.Second, ordered)
		b.say("trouble: the primary %s crashes; the next call for a promotion gets no answer and is carried out 4 s later", primary.id)
		primary.crash()
		var target *backend
		select {
		case target = <-ordered:
		case <-time.After(5 * time.Second):
			b.say("no promotion was requested")
			return 2
		}
		time.Sleep(20 * time.Millisecond)
		b.say("trouble: %s, whose promotion was requested, is partitioned from the store and crashes", target.id)
		set(func() { target.register(); target.noStore = true })
		target.crash()
		time.Sleep(300 * time.Millisecond)
		b.say("%s starts again under its id, without its log", target.id)
		target.startAgain(false)
		time.Sleep(4680 * time.Millisecond)
		b.say("the cut of %s from the store ends", target.id)
		set(func() { target.noStore = false })
		at(7)
		b.say("%s starts again with its log", primary.id)
		primary.startAgain(true)
	}
	return writes.verdict()
}
