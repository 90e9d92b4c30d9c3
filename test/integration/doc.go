// Package integration proves the promises with real processes behind
// fault-injecting proxies. Its tests are listed in docs/PROOFS.md.
package integration
