package main

import (
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	// The primary goes silent for good, and all processes are killed at the end.
	cases["mute-primary"] = func(b *bed) error {
		if err := b.begin(1, allZones); err != nil {
			return err
		}
		svc := b.services[0]
		var stop atomic.Bool
		var served, asked atomic.Int64
		for i := range 6 {
			go b.mixture(i, svc, &stop, &served, &asked)
		}
		time.Sleep(8 * time.Second)
		before, askedBefore := served.Load(), asked.Load()
		b.rec.say("before: %d of %d requests served", before, askedBefore)
		if b.trouble {
			b.rec.say("the primary %s goes silent: it accepts connections and answers nothing", svc.leader.id)
			b.mu.Lock()
			svc.leader.mute = true
			b.mu.Unlock()
		}
		b.rec.say("all processes are killed")
		for _, h := range b.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range b.hosts {
			<-h.done
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range b.hosts {
			if err := h.start(); err != nil {
				return err
			}
		}
		b.rec.say("the machines are back")
		time.Sleep(recovery)
		served.Store(0)
		asked.Store(0)
		time.Sleep(30 * time.Second)
		stop.Store(true)
		n, m := served.Load(), asked.Load()
		b.rec.say("later than RecoveryS: %d of %d requests served, promotions %v", n, m, b.promotes)
		if 4*before < askedBefore {
			b.rec.say("too few were served before the fault")
			return errTooFew
		}
		if 4*n < m {
			b.rec.broken("RECOVER: %d of %d requests that were sent later than %v after the machines were back are served", n, m, recovery)
		}
		return nil
	}
}

// recovery is RecoveryS.
const recovery = 12 * time.Second

// mixture sends reads and writes of all kinds, each over a session of its own.
func (b *bed) mixture(seed int, svc *service, stop *atomic.Bool, served, asked *atomic.Int64) {
	kinds := []string{"primary", "bounded", "own", "own", "own"}
	for i := seed; !stop.Load(); i++ {
		asked.Add(1)
		kind := kinds[i%len(kinds)]
		if c := b.dial(b.hosts[i%len(b.hosts)], svc.name+"-"+kind); c != nil {
			id := newID()
			text := "READ warm"
			if kind != "bounded" && i%6 == 0 {
				text = "WRITE y" + id + " " + id
			}
			if c.query(id, text).ok {
				served.Add(1)
			}
			c.close()
		}
		time.Sleep(30 * time.Millisecond)
	}
}
