package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/test/testbed"
)

func main() {
	seed, seconds := uint64(1), 30
	flaggy.SetName("soak")
	flaggy.UInt64(&seed, "seed", "seed", "seed of the fault sequence")
	flaggy.Int(&seconds, "seconds", "seconds", "how long to inject faults, in seconds")
	flaggy.Parse()
	r := &reporter{}
	done := make(chan struct{})
	go func() {
		defer close(done) // runs also when FailNow ends the goroutine
		soak(r, seed, time.Duration(seconds)*time.Second)
	}()
	<-done
	r.runCleanups()
	testbed.RemovePrograms()
	if r.failed {
		os.Exit(1)
	}
}

// reporter implements the methods of testing.TB that the test bed uses, so that
// the bed can run outside a test.
type reporter struct {
	testing.TB
	mu       sync.Mutex
	failed   bool
	cleanups []func()
}

func (r *reporter) Helper() {}

func (r *reporter) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

func (r *reporter) Logf(format string, args ...any) { fmt.Printf(format+"\n", args...) }

func (r *reporter) Errorf(format string, args ...any) {
	r.mu.Lock()
	r.failed = true
	r.mu.Unlock()
	fmt.Printf("FAULT "+format+"\n", args...)
}

func (r *reporter) Error(args ...any) { r.Errorf("%s", fmt.Sprint(args...)) }

func (r *reporter) Fatal(args ...any) {
	r.Error(args...)
	runtime.Goexit()
}

func (r *reporter) Fatalf(format string, args ...any) { r.Fatal(fmt.Sprintf(format, args...)) }

func (r *reporter) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// TempDir creates a directory that runCleanups removes.
func (r *reporter) TempDir() string {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			r.Logf("remove temporary directory: %v", err)
		}
	})
	return dir
}

// runCleanups calls the registered cleanup functions in reverse order.
func (r *reporter) runCleanups() {
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
}
