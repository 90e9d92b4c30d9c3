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
	// recoveryTimeout bounds the time until all hosts serve writes after the last
	// fault has ended: replicas may stay paused for 15 s after the duty moves to
	// another host, and a stopping host has a grace period of 6 s.
	recoveryTimeout = 40 * time.Second
)

// soak injects the faults of one seed for the duration d. It fails tb if a
// guarantee is violated.
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
		bed.Eventually("routes are in effect", func() bool { return bed.Dial(i, "latest") != nil })
	}
	callers, stop := startCallers(bed, fail)
	newFaultInjector(bed, seed, version, log).run(d)
	awaitService(bed, fail)
	stop()
	checkWrites(bed, callers, fail)
	served := 0
	for _, c := range callers {
		served += c.served
	}
	log("seed %d: %d statements served, promotions %v", seed, served, bed.Promotions())
}

// startCallers starts callersPerHost callers for each host. The returned stop
// function ends them and waits for them.
func startCallers(bed *line.Bed, fail func(string, ...any)) (callers []*caller, stop func()) {
	stopping, wg := make(chan struct{}), &sync.WaitGroup{}
	for i := range callersPerHost * len(bed.Hosts) {
		c := newCaller(bed, i, fail)
		callers = append(callers, c)
		wg.Add(1)
		go c.run(stopping, wg)
	}
	return callers, func() {
		close(stopping)
		wg.Wait()
	}
}

// awaitService waits until a write succeeds through each host.
func awaitService(bed *line.Bed, fail func(string, ...any)) {
	deadline := time.Now().Add(recoveryTimeout)
	for i, h := range bed.Hosts {
		for n := 0; !writeSucceeds(bed, i, n); n++ {
			if time.Now().After(deadline) {
				fail("%s still serves no writes %s after the last fault", h.Name, recoveryTimeout)
				return
			}
			time.Sleep(redialWait)
		}
	}
}

// writeSucceeds reports whether a write through the host is acknowledged.
func writeSucceeds(bed *line.Bed, host, attempt int) bool {
	c := bed.Dial(host, "own")
	if c == nil {
		return false
	}
	defer c.Close()
	return c.Exec(fmt.Sprintf("after-%d-%d WRITE after x", host, attempt)) == "COMPLETE"
}

// checkWrites compares the results that callers received with the statements
// that the targets ran and the data that they store.
func checkWrites(bed *line.Bed, callers []*caller, fail func(string, ...any)) {
	runs := map[string]int{}
	for _, m := range bed.Members {
		for id, n := range m.Line.Runs() {
			runs[id] += n
		}
	}
	for _, c := range callers {
		for _, id := range c.notRun {
			if runs[id] > 0 {
				fail("%s ran %d times although it was reported as not run", id, runs[id])
			}
		}
		for _, it := range c.items {
			checkItem(bed, it, runs, fail)
		}
	}
}

// checkItem fails if a write of the item ran more than once or if the item's
// latest value contradicts the results that its caller received.
func checkItem(bed *line.Bed, it *item, runs map[string]int, fail func(string, ...any)) {
	for n := 1; n <= it.sent; n++ {
		if id := writeID(it, n); runs[id] > 1 {
			fail("%s ran %d times", id, runs[id])
		}
	}
	if err := it.checkValue(readLatest(bed, it.name), it.acked); err != nil {
		fail("final check: %v", err)
	}
}

// readLatest reads an item's latest value through any host. It returns -1 if no
// host serves the read.
func readLatest(bed *line.Bed, name string) int {
	for attempt := range 10 * len(bed.Hosts) {
		c := bed.Dial(attempt%len(bed.Hosts), "latest")
		if c == nil {
			continue
		}
		rows, result, _ := c.Query("check-" + name + " READ " + name)
		c.Close()
		if result == "COMPLETE" {
			return itemNumber(rows)
		}
		time.Sleep(redialWait)
	}
	return -1
}
