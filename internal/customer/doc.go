// Package customer stores the configuration of this host: templates,
// customers, groups and hosts. Each is a versioned object of the platform. The
// package also resolves the effective parameters of a customer from its
// template and its own settings.
//
// Versions increase across all objects of a kind, so the state of a kind is
// its objects plus a revision: the state includes every object whose latest
// version is at most the revision. Merging a delta never lowers the revision
// or the version of an object, whatever the order in which deltas arrive.
//
// Two hosts per failure domain, the relays, watch the platform. The other
// hosts form a tree below the relays and long-poll their sources for deltas.
package customer
