// Package customer keeps the configuration: templates, customers, groups and
// hosts, each an object with a version of the platform, and what follows from
// a template and a customer's own parameters.
//
// Versions of a kind rise across all its objects, so a host's state of a kind
// is a revision (every object whose latest version is at most the revision is
// there) and the objects. Merging a delta only ever raises the revision and
// each object's version, in whatever order deltas arrive.
//
// Two hosts per failure domain, the relays, watch the platform. The others form
// a tree below them and pull deltas with calls that wait for the next change.
package customer
