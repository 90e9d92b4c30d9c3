package main

import (
	"os"
	"runtime/debug"
)

// collectionPercent is how far the heap grows between garbage collections, in
// per cent of what is in use. A host has little in use and allocates much for
// each statement, so the runtime's default collects often.
const collectionPercent = 400

// platformCollectionPercent is the same on the users' platform, where memory is
// dear and processor time is not: on a quiet day 50 instead of 400 takes 7.3 MB
// a host instead of 19.2, and a tenth more processor time.
const platformCollectionPercent = 50

// setCollection sets the pace of garbage collection unless the environment does.
func setCollection(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
