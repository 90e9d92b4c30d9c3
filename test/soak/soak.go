package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"nettlewalk.example/nettlewalk/test/line"
)

const (
	callersPerHost = 3
	// recovery is how long all hosts may need to serve writes once the faults
	// are over: replicas may stay paused for 15 s after a new holder of the
	// duty, and a host that was told to stop has 6 s.
	recovery = 40 * time.Second
)

// soak plays one seed. What breaks a promise fails tb.
func soak(tb testing.TB, seed uint64, d time.Duration) {
	began := time.Now()
	fail := func(format string, args ...any) {
		tb.Errorf("%s %s", time.Since(began).Round(time.Millisecond), fmt.Sprintf(format, args...))
	}
	log := func(format string, args ...any) {
		tb.Logf("%s %s", time.Since(began).Round(time.Millisecond), fmt.Sprintf(format, args...))
	}
	bed := line.NewBed(tb)
	const version = 2
	bed.Configure(version, databases...)
	for i := range bed.Hosts {
		bed.Eventually("the routes are in force", func() bool { return bed.Dial(i, "latest") != nil })
	}
	callers, stop := begin(bed, fail)
	newFaults(bed, seed, version, log).run(d)
	awaitService(bed, fail)
	stop()
	check(bed, callers, fail)
	served := 0
	for _, c := range callers {
		served += c.served
	}
	log("seed %d: %d statements served, promotions %v", seed, served, bed.Promotions())
}

func begin(bed *line.Bed, fail func(string, ...any)) (callers []*caller, stop func()) {
	end, done := make(chan struct{}), &sync.WaitGroup{}
	for i := range callersPerHost * len(bed.Hosts) {
		c := newCaller(bed, i, fail)
		callers = append(callers, c)
		done.Add(1)
		go c.run(end, done)
	}
	return callers, func() {
		close(end)
		done.Wait()
	}
}

// awaitService waits until a write succeeds at each host.
func awaitService(bed *line.Bed, fail func(string, ...any)) {
	until := time.Now().Add(recovery)
	for i, h := range bed.Hosts {
		for n := 0; !writes(bed, i, n); n++ {
			if time.Now().After(until) {
				fail("%s serves no writes %s after the last fault", h.Name, recovery)
				return
			}
			time.Sleep(redialWait)
		}
	}
}

func writes(bed *line.Bed, host, n int) bool {
	c := bed.Dial(host, "own")
	if c == nil {
		return false
	}
	defer c.Close()
	return c.Try(fmt.Sprintf("after-%d-%d WRITE after x", host, n)) == "COMPLETE"
}

// check compares what callers were told with what targets have and ran.
func check(bed *line.Bed, callers []*caller, fail func(string, ...any)) {
	ran := map[string]int{}
	for _, m := range bed.Members {
		for id, n := range m.Line.Runs() {
			ran[id] += n
		}
	}
	for _, c := range callers {
		for _, id := range c.notRun {
			if ran[id] > 0 {
				fail("%s ran %d times and was promised not to have run", id, ran[id])
			}
		}
		for _, it := range c.items {
			checkItem(bed, it, ran, fail)
		}
	}
}

func checkItem(bed *line.Bed, it *item, ran map[string]int, fail func(string, ...any)) {
	for n := 1; n <= it.tried; n++ {
		if id := writeID(it, n); ran[id] > 1 {
			fail("%s ran %d times", id, ran[id])
		}
	}
	if err := it.check(latest(bed, it.name), it.acked); err != nil {
		fail("at the end: %v", err)
	}
}

// latest reads an item's latest value, at any host; -1 if none serves.
func latest(bed *line.Bed, name string) int {
	for try := range 10 * len(bed.Hosts) {
		c := bed.Dial(try%len(bed.Hosts), "latest")
		if c == nil {
			continue
		}
		rows, result, _ := c.Query("check-" + name + " READ " + name)
		c.Close()
		if result == "COMPLETE" {
			return number(rows)
		}
		time.Sleep(redialWait)
	}
	return -1
}
