// Package admin implements the administration API of a host: JSON over HTTP on a
// separate listener. Health and metrics need no token; all other requests need
// an operator's bearer token. An operator who is restricted to some customers
// can read and edit only those.
//
// A host starts without configuration. Once it has one, it is ready, or cut off
// while it has no contact to the platform and serves from its last known
// configuration. Draining is the final state.
package admin
