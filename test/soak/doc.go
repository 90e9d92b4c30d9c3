// Command soak runs hosts of the product as processes before stand-ins of
// targets, store and promotion call, with random faults from outside, and checks
// what callers and targets see against the promises: no acknowledged write is
// lost, no write runs twice, what is answered as not run didn't run, sessions
// see their own writes, reads of the latest data see every write acknowledged
// before, every statement ends in time, and all is served again once the faults
// are over.
//
//	go run ./test/soak -seed 7 -seconds 30
//
// A seed gives the same series of faults; how processes interleave differs from
// run to run.
package main
