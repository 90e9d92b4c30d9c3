// Package platform is a stand-in for the platform's object API, for tests and
// the quickstart. It keeps objects in memory, counts calls, and simulates
// platform faults on request: outages, delays, responses lost after a change
// took effect, an exhausted call budget and a lagging host list.
package platform
