// Package placement chooses which other host is asked to run a statement. In a
// large fleet some hosts hold the connections to a group's targets for all; what
// a host knows of their load comes from its exchanges with them, which are
// seconds apart, and from their answers to the statements that it sent them.
package placement
