// Package platform is a stand-in for the platform's object API, for tests and
// the quickstart. It keeps objects in memory, counts calls, and brings about
// the platform's faults on request: outages, delays, answers lost after the
// change took effect, a call budget and a lagging host list.
package platform
