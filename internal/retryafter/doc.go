// Package retryafter decides when refused callers should return. It handles crowds that
// are refused together: during an overload, while a group has no leader, and while a failure
// domain is unreachable. Without times such callers return together and are refused again.
//
// A Schedule divides the time in which capacity is expected into slots and promises each
// slot to one caller: to more urgent callers first, and to customers in turn. The package
// reads no clock and does no I/O. See docs/design/retry-after.md.
package retryafter
