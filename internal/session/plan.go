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

// access is what a session may do, from its customer, user and settings.
type access struct {
	customer *customer.Customer
	user     customer.User
	settings *settings
}

// readOnly tells whether the session was declared to write nothing.
func (a access) readOnly() bool { return a.user.ReadOnly || a.settings.readOnly }

// replicasAllowed tells whether statements that begin as reads may go to replicas.
func (a access) replicasAllowed() bool {
	if a.settings.maxStaleness != nil {
		return *a.settings.maxStaleness > 0
	}
	return a.customer.ReadKeywords || a.readOnly()
}

// base fills in what depends on the session only.
func (a access) base() plan {
	p := plan{
		readOnly:     a.readOnly(),
		maxStaleness: a.customer.MaxStaleness,
		serveStale:   a.customer.WhenCutOff == customer.Serve,
	}
	if a.settings.maxStaleness != nil {
		p.maxStaleness = *a.settings.maxStaleness
	}
	return p
}

// planAlone decides on a batch outside a transaction.
func (a access) planAlone(f batchFacts) (plan, error) {
	p := a.base()
	p.mayCommit = true
	if a.readOnly() && f.writes {
		return p, errReadOnly
	}
	if (f.reads || a.readOnly()) && a.replicasAllowed() && !f.begins {
		p.class = pool.Read
	}
	p.idempotent = a.settings.idempotent || (p.class == pool.Read && a.changesNothing(f))
	return p, nil
}

// changesNothing tells whether a batch may run twice anywhere. A read that
// calls a function of the caller's own may write at the primary, so that it
// counts only if the caller declared it harmless.
func (a access) changesNothing(f batchFacts) bool {
	return a.readOnly() || (f.reads && f.repeatable)
}

// planBegin decides on the BEGIN that opens a transaction. It may run twice, as
// nothing hangs on it yet.
func (a access) planBegin(begin statement) (plan, error) {
	p := a.base()
	p.idempotent = true
	if begin.readWrite && a.user.ReadOnly {
		return p, errReadOnly
	}
	if a.beginsReadOnly(begin) && (a.settings.maxStaleness == nil || *a.settings.maxStaleness > 0) {
		p.class = pool.Read
	}
	return p, nil
}

func (a access) beginsReadOnly(begin statement) bool {
	return begin.readOnly || (a.readOnly() && !begin.readWrite)
}

// beginText returns the BEGIN to send: a read-only session's default is in
// force at the target only if the statement says so.
func (a access) beginText(begin statement) string {
	if a.beginsReadOnly(begin) && !begin.readOnly {
		return begin.text + " READ ONLY"
	}
	return begin.text
}

// planInside decides on a batch of a transaction, which stays where it began.
func (a access) planInside(class pool.Class, f batchFacts) (plan, error) {
	p := a.base()
	if a.user.ReadOnly && f.writes {
		return p, errReadOnly
	}
	p.class = class
	p.mayCommit = f.mayEnd
	return p, nil
}
