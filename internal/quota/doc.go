// Package quota keeps each customer's operations within its rate over all hosts. A
// coordinator for each customer sells tokens to the hosts, and one operation spends one
// token. docs/design/fleet-limits.md has the rules and the sum of what hosts may spend
// while they are out of contact.
//
// Ledger, what a coordinator decides, and Wallet, what a host decides, are pure: time
// and messages are arguments. Quota connects them to the peer calls.
package quota
