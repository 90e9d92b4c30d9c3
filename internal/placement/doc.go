// Package placement chooses which other host is asked to run a statement. In a
// large fleet, some hosts hold the connections to a group's targets on behalf
// of all. A host knows their load from gossip exchanges with them, which are
// seconds apart, and from their answers to statements that it sent them.
package placement
