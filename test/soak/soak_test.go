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

// A short sequence of faults violates no guarantee.
func TestSoakShort(t *testing.T) { soak(t, 1, 6*time.Second) }
