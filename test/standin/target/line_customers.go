package target

// The line protocol records which customers hosts name, and messages that hosts must not
// send: those with an unknown customer or with a key.

import (
	"maps"
	"slices"
	"strings"
)

// CustomersOf returns for which customers a request ID was executed, as named at the START
// of the connections, in ascending order.
func (l *Line) CustomersOf(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.customers[id]))
}

// OpenOf returns how many connections of a customer are open.
func (l *Line) OpenOf(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[customer]
}

// countOpen changes the number of open connections of a customer.
func (l *Line) countOpen(customer string, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[customer] += by
}

// noteKeys records a message that contains a key.
func (l *Line) noteKeys(message string) {
	if l.cfg.IsKey == nil || !slices.ContainsFunc(strings.Fields(message), l.cfg.IsKey) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keysSeen = append(l.keysSeen, message)
}

// Violations returns the messages that named an unknown customer or contained a key.
func (l *Line) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Concat(l.refused, l.keysSeen)
}
