package main

import (
	"os"
	"testing"
	"time"

	"nettlewalk.example/nettlewalk/test/testbed"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.RemovePrograms()
	os.Exit(code)
}

// failedOnce are seeds that broke a promise in a play, with the cause.
var failedOnce = map[string]uint64{
	// A line session of a target stand-in kept the database from before the
	// rebuild of a returned primary: stale reads (3 of 4 plays).
	"old database after a return": 3,
}

// A short series of faults breaks no promise.
func TestSoakShort(t *testing.T) { soak(t, 1, 6*time.Second) }

func TestSoakSeedsThatFailed(t *testing.T) {
	for name, seed := range failedOnce {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			soak(t, seed, 10*time.Second)
		})
	}
}
