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

// A short series of faults breaks no promise.
func TestSoakShort(t *testing.T) { soak(t, 1, 6*time.Second) }
