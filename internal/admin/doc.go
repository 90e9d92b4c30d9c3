// Package admin is the administration API of a host: HTTP and JSON on a
// listener of its own. Health and metrics need no token; everything else needs
// an operator's bearer token. An operator limited to some customers sees and
// edits only those.
//
// A host is without configuration until it has one, then ready, or cut off when
// it serves what it can without touch to the platform; draining comes last.
package admin
