package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// logged reports whether a line of the host's log has all the words.
func (h *host) logged(words ...string) bool {
	text, _ := os.ReadFile(h.path("log"))
next:
	for _, line := range strings.Split(string(text), "\n") {
		for _, w := range words {
			if !strings.Contains(line, w) {
				continue next
			}
		}
		return true
	}
	return false
}

func init() {
	// A replica that only the primary reaches counts as ended; most voters and the primary end.
	cases["forgotten-replica"] = func(b *bed) error {
		if err := b.begin(1, allZones); err != nil {
			return err
		}
		svc := b.services[0]
		// The holder of the duty is to be one of the two hosts that stay.
		for range 3 {
			time.Sleep(2 * time.Second)
			if !b.hosts[4].holdsDuty() && !b.hosts[5].holdsDuty() {
				return errStartAgain
			}
		}
		var stop atomic.Bool
		var acked atomic.Int64
		all := b.hosts
		writer := &bed{platform: b.platform, hosts: all[:3], dir: b.dir}
		done := writer.writeAll(svc, &stop, &acked)
		time.Sleep(time.Second)
		if b.trouble {
			if err := b.forget(svc); err != nil {
				stop.Store(true)
				<-done
				return err
			}
		}
		time.Sleep(6 * time.Second)
		stop.Store(true)
		<-done
		b.rec.say("%d writes acknowledged, promotions %v", acked.Load(), b.promotes)
		return nil
	}
}

// holdsDuty reports whether the host took the duty of the only service.
func (h *host) holdsDuty() bool { return h.logged(`"duty claim learned"`, `"mine":true`) }

// cutTime is how long the replica is cut off.
const cutTime = 12 * time.Second

// forget cuts off a replica until it counts as ended, leaves the other one without commits for a
// moment, and takes the power of most voters and of the primary.
func (b *bed) forget(svc *service) error {
	lost, candidate := svc.servers[1], svc.servers[2]
	b.rec.say("%s is cut off from the hosts and the store, not from the primary", lost.id)
	lost.cutOff()
	since := time.Now()
	time.AfterFunc(cutTime, func() {
		b.rec.say("the cut ends")
		lost.restart(false)
	})
	for !b.hosts[4].logged(`"target has ended"`, lost.id) && !b.hosts[5].logged(`"target has ended"`, lost.id) {
		if time.Since(since) > 12*time.Second {
			return fmt.Errorf("%s isn't taken for ended", lost.id)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	b.rec.say("%s is taken for ended; %s receives nothing", lost.id, candidate.id)
	b.mu.Lock()
	candidate.deaf = true
	b.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	b.rec.say("four of six machines and the primary lose power, %v after the cut", time.Since(since).Round(time.Millisecond))
	svc.leader.crash()
	for _, h := range b.hosts[:4] {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range b.hosts[:4] {
		<-h.done
	}
	time.Sleep(restartDelay)
	for _, h := range b.hosts[:4] {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}
