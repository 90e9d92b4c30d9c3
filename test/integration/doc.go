// Package integration tests the product's guarantees with real processes that
// are connected through fault-injecting proxies. docs/PROOFS.md lists its tests.
package integration
