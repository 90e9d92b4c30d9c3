package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// writeAll keeps writing through the hosts until stop, over short sessions, and notes what is
// acknowledged.
func (b *bed) writeAll(svc *service, stop *atomic.Bool, acked *atomic.Int64) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; !stop.Load(); i++ {
			h := b.hosts[i%len(b.hosts)]
			c := b.dial(h, svc.name+"-primary")
			if c == nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			for range 5 {
				id := newID()
				if !c.query(id, "WRITE x"+fmt.Sprint(i%20)+" "+id).ok {
					break
				}
				c.acked(id)
				acked.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
			c.close()
		}
	}()
	return done
}

// The times of the disruptions, within those of the pages.
const (
	crashTime    = 2 * time.Second         // the primary is down
	silenceTime  = 2200 * time.Millisecond // the store is silent
	lateBy       = 6 * time.Second         // a call without an answer is carried out
	deafTime     = 6900 * time.Millisecond // a replica receives nothing
	restartDelay = 500 * time.Millisecond  // from the end of a process to its next start
)

func init() {
	// A promotion call gets no answer and is carried out late, after the machines lost power.
	cases["late-order"] = func(b *bed) error {
		if err := b.begin(1, allZones); err != nil {
			return err
		}
		svc := b.services[0]
		time.Sleep(6 * time.Second)
		var stop atomic.Bool
		var acked atomic.Int64
		writers := b.writeAll(svc, &stop, &acked)
		time.Sleep(2 * time.Second)
		if b.trouble {
			if err := b.loseOrder(svc); err != nil {
				return err
			}
		}
		time.Sleep(12 * time.Second)
		stop.Store(true)
		<-writers
		b.rec.say("%d writes acknowledged, promotions %v", acked.Load(), b.promotes)
		return nil
	}
}

// loseOrder crashes the primary, leaves the promotion call for another server without an
// answer, and takes the power of all machines of the system before the store is back.
func (b *bed) loseOrder(svc *service) error {
	ordered := make(chan string, 10)
	b.mu.Lock()
	b.onPromote = func(service, id string) writeFate {
		ordered <- id
		return writeFate{true, lateBy}
	}
	primary := svc.leader
	b.mu.Unlock()
	b.rec.say("the store is silent for %v", silenceTime)
	b.store.setFaults(func(s *store) { s.silent = true })
	time.AfterFunc(silenceTime, func() { b.store.setFaults(func(s *store) { s.silent = false }) })
	time.Sleep(200 * time.Millisecond)
	b.rec.say("the primary crashes for %v", crashTime)
	primary.crash()
	time.AfterFunc(crashTime, func() {
		b.rec.say("the primary is back, with its log")
		primary.restart(false)
	})
	var id string
	select {
	case id = <-ordered:
	case <-time.After(crashTime):
		return fmt.Errorf("no promotion was requested")
	}
	time.Sleep(200 * time.Millisecond)
	b.rec.say("all machines lose power")
	for _, h := range b.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range b.hosts {
		<-h.done
	}
	b.mu.Lock()
	b.onPromote = nil
	var target *server
	for _, s := range svc.servers {
		if s.id == id {
			target = s
		}
	}
	b.mu.Unlock()
	time.Sleep(restartDelay)
	b.rec.say("the machines are back")
	for _, h := range b.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	b.mu.Lock()
	target.deaf = true
	b.mu.Unlock()
	b.rec.say("%s receives nothing for %v", id, deafTime)
	time.AfterFunc(deafTime, func() {
		b.mu.Lock()
		target.deaf = false
		b.mu.Unlock()
	})
	return nil
}
