// Command soak runs host processes of the product against stand-ins for targets,
// store and promotion API, injects random faults from outside, and checks what
// callers and targets observe against the product's guarantees:
//
//   - No acknowledged write is lost, and no write runs twice.
//   - A statement that was reported as not run did not run.
//   - Sessions see their own writes.
//   - Reads of the latest data see every write acknowledged before them.
//   - Every statement finishes within its time limit.
//   - All hosts serve writes again after the last fault has ended.
//
// Example:
//
//	go run ./test/soak -seed 7 -seconds 30
//
// A seed determines the sequence of faults. The interleaving of the processes
// still differs between runs.
package main
