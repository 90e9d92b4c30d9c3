package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryLimit has as many sessions as the small deployment, each of which writes a text of
// nearly the largest size, waits for the answer, rests and writes again. This program kills a
// process that exceeds MemoryMb, as the platform does, and starts it again. The rule is Fault.
func memoryLimit(w *world) (broken int, err error) {
	const (
		sessions  = 296       // SYSTEM.md, Databases
		limitKB   = 284 << 10 // MemoryMb
		largest   = 1<<20 - 200
		usual     = 1200 // the largest request of the site's traffic
		enough    = 3
		machines  = 2
		playFor   = 60 * time.Second
		restartIn = 500 * time.Millisecond
		// All sessions of a machine together send less than LinkMbps, 1,000 Mbit/s: 148 times
		// 64 KiB in 90 ms are 862 Mbit/s.
		chunk = 64 << 10
		pause = 90 * time.Millisecond
	)
	size := usual
	if w.trouble {
		size = largest
	}
	text := "WRITE k " + strings.Repeat("x", size)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var answered, cut atomic.Int64
	var wg sync.WaitGroup
	for i := range sessions {
		h := w.hosts[i%machines]
		wg.Go(func() {
			for n := 0; ; {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				c, err := open(h, "fiti832", "")
				if err == nil {
					c.chunk, c.pause = chunk, pause
				}
				for err == nil {
					n++
					o := c.query(fmt.Sprintf("m%d.%d", i, n), text, 5*time.Second)
					if o.result == "" {
						cut.Add(1)
						break
					}
					answered.Add(1)
					select {
					case <-stop:
						c.conn.Close()
						return
					case <-time.After(200 * time.Millisecond):
					}
				}
				if err == nil {
					c.conn.Close()
				}
			}
		})
	}
	kills := map[*host]int{}
	for end := time.Now().Add(playFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		over := 0
		for _, h := range w.hosts {
			if h.endedByItself() {
				w.rec.note("%s ended by itself, not by this program", h.name)
				return 1, nil
			}
			used := anonymousKB(h.cmd.Process.Pid)
			if used > limitKB {
				kills[h]++
				w.rec.note("%s uses %d MB: killed for the %d. time (%d requests answered, %d cut so far)", h.name, used>>10, kills[h], answered.Load(), cut.Load())
				h.stop(syscall.SIGKILL)
				if !await(2*time.Second, h.hasEnded) {
					return 0, errors.New("a process does not end")
				}
				time.AfterFunc(restartIn, func() { _ = h.start() })
				time.Sleep(restartIn + 100*time.Millisecond)
			}
			if kills[h] >= enough {
				over++
			}
		}
		if over >= machines {
			break
		}
	}
	close(stop)
	wg.Wait()
	over := 0
	for h, n := range kills {
		w.rec.note("%s exceeded MemoryMb %d times", h.name, n)
		if n >= enough {
			over++
		}
	}
	w.rec.note("%d requests were answered, %d got no answer", answered.Load(), cut.Load())
	if over >= machines {
		w.rec.note("FAULT: the processes of %d machines ended %d times or more", over, enough)
		return over, nil
	}
	return 0, nil
}

// anonymousKB returns the memory of a process without that of its program file.
func anonymousKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb := 0
			_, _ = fmt.Sscan(rest, &kb)
			return kb
		}
	}
	return 0
}
