package session

// batchFacts is what the statements of a batch tell together.
type batchFacts struct {
	executed   int    // statements that run
	reads      bool   // all are reads
	repeatable bool   // all surely change nothing
	writes     bool   // one begins as a write
	begins     bool   // a transaction is open after it, if it succeeds from idle
	onlyBegins bool   // BEGIN alone
	onlyEnds   bool   // COMMIT or ROLLBACK alone, with nothing to follow
	mayEnd     bool   // may commit within a transaction
	local      bool   // the session itself answers all of it
	mixed      bool   // it answers a part
	refused    string // feature that isn't offered
}

// facts looks at a batch's statements.
func (b *batch) facts() batchFacts {
	f := batchFacts{reads: true, repeatable: true}
	locals, remotes := 0, 0
	var last statement
	for _, o := range b.ops {
		if o.definition == nil {
			f.addUnknown(o)
			if o.kind != opClose || o.portal {
				remotes++
			}
			continue
		}
		for _, s := range o.definition.statements {
			f.addClass(s)
			if s.answeredLocally() {
				locals++
			} else {
				remotes++
			}
			if o.kind == opExecute || o.kind == opQuery {
				f.addExecuted(s)
				last = s
			}
		}
	}
	f.local = remotes == 0
	f.mixed = remotes > 0 && locals > 0
	f.onlyBegins = f.executed == 1 && last.kind == kindBegin && b.concernsOnly(kindBegin)
	f.onlyEnds = f.executed == 1 && last.ends() && !last.chained
	return f
}

func (f *batchFacts) addUnknown(o op) {
	if o.kind != opExecute {
		return
	}
	f.executed++
	f.mayEnd = true
	f.reads, f.repeatable = false, false
}

func (f *batchFacts) addClass(s statement) {
	f.reads = f.reads && s.kind == kindRead
	f.repeatable = f.repeatable && s.repeatable
	f.writes = f.writes || s.writes
	if s.kind == kindRefused && f.refused == "" {
		f.refused = s.name
	}
}

func (f *batchFacts) addExecuted(s statement) {
	f.executed++
	if f.executed > 1 || s.ends() {
		f.mayEnd = true
	}
	switch {
	case s.kind == kindBegin, s.ends() && s.chained:
		f.begins = true
	case s.ends():
		f.begins = false
	}
}

// concernsOnly tells whether all statements of the batch are of one kind, with
// closes left aside.
func (b *batch) concernsOnly(k kind) bool {
	for _, o := range b.ops {
		if o.kind == opClose {
			continue
		}
		if o.definition == nil {
			return false
		}
		for _, s := range o.definition.statements {
			if s.kind != k {
				return false
			}
		}
	}
	return true
}

// ends tells whether the statement ends a transaction.
func (s statement) ends() bool { return s.kind == kindCommit || s.kind == kindRollback }

// answeredLocally tells whether the session answers the statement in every
// state but lost.
func (s statement) answeredLocally() bool {
	switch s.kind {
	case kindSet, kindReset, kindShow, kindForget:
		return true
	}
	return false
}
