package session

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

var errReadOnly = result.New(result.ReadOnlySession, "the user or session is declared read-only")

// plan is how a batch is to be routed.
type plan struct {
	class        pool.Class
	idempotent   bool
	mayCommit    bool
	readOnly     bool // nothing of it may write
	maxStaleness time.Duration
	serveStale   bool
}

// reader is what a session may do, from its customer, user and settings.
type reader struct {
	customer *customer.Customer
	user     customer.User
	settings *settings
}

// readOnly tells whether the session was declared to write nothing.
func (r reader) readOnly() bool { return r.user.ReadOnly || r.settings.readOnly }

// replicasAllowed tells whether statements that begin as reads may go to replicas.
func (r reader) replicasAllowed() bool {
	if r.settings.maxStaleness != nil {
		return *r.settings.maxStaleness > 0
	}
	return r.customer.ReadKeywords || r.readOnly()
}

// base fills in what depends on the session only.
func (r reader) base() plan {
	p := plan{
		readOnly:     r.readOnly(),
		maxStaleness: r.customer.MaxStaleness,
		serveStale:   r.customer.WhenCutOff == customer.Serve,
	}
	if r.settings.maxStaleness != nil {
		p.maxStaleness = *r.settings.maxStaleness
	}
	return p
}

// planAlone decides on a batch outside a transaction.
func (r reader) planAlone(f batchFacts) (plan, error) {
	p := r.base()
	p.mayCommit = true
	if r.readOnly() && f.writes {
		return p, errReadOnly
	}
	if r.replicasAllowed() && !f.begins && r.changesNothing(f) {
		p.class = pool.Read
	}
	p.idempotent = r.settings.idempotent || p.class == pool.Read
	return p, nil
}

// changesNothing tells whether a batch may be run twice and at replicas. A read
// that calls a function of the caller's own may write, so that it counts only
// if the caller declared it harmless.
func (r reader) changesNothing(f batchFacts) bool {
	return r.readOnly() || (f.reads && (f.repeatable || r.settings.idempotent))
}

// planBegin decides on the BEGIN that opens a transaction. It may run twice, as
// nothing hangs on it yet.
func (r reader) planBegin(begin statement) (plan, error) {
	p := r.base()
	p.idempotent = true
	if begin.readWrite && r.user.ReadOnly {
		return p, errReadOnly
	}
	if r.beginsReadOnly(begin) && (r.settings.maxStaleness == nil || *r.settings.maxStaleness > 0) {
		p.class = pool.Read
	}
	return p, nil
}

func (r reader) beginsReadOnly(begin statement) bool {
	return begin.readOnly || (r.readOnly() && !begin.readWrite)
}

// beginText returns the BEGIN to send: a read-only session's default is in
// force at the target only if the statement says so.
func (r reader) beginText(begin statement) string {
	if r.beginsReadOnly(begin) && !begin.readOnly {
		return begin.text + " READ ONLY"
	}
	return begin.text
}

// planInside decides on a batch of a transaction, which stays where it began.
func (r reader) planInside(class pool.Class, f batchFacts) (plan, error) {
	p := r.base()
	if r.user.ReadOnly && f.writes {
		return p, errReadOnly
	}
	p.class = class
	p.mayCommit = f.mayEnd
	return p, nil
}
