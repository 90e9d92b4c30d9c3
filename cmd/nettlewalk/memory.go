package main

import (
	"os"
	"runtime/debug"
)

// collectionPercent is how far the heap grows between garbage collections, in
// per cent of what is in use. A host has little in use and allocates much for
// each statement, so the runtime's default collects often.
const collectionPercent = 400

// setCollection sets the pace of garbage collection unless the environment does.
func setCollection() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectionPercent)
	}
}
