package session

// batchSummary summarizes the statements of a batch.
type batchSummary struct {
	executed          int    // number of statements that run
	allReads          bool   // all statements are reads
	allSideEffectFree bool   // all statements are known to have no side effects
	anyWrite          bool   // at least one statement is known to write
	leavesOpen        bool   // a transaction is open after the batch, if it succeeds from the idle state
	onlyBegin         bool   // the batch is a single BEGIN
	onlyEnd           bool   // the batch is a single COMMIT or ROLLBACK without AND CHAIN
	mayCommitInTx     bool   // the batch may commit if it runs within a transaction
	allLocal          bool   // the session answers all statements without a target
	partlyLocal       bool   // the session answers some statements, a target the others
	unsupported       string // name of the first unsupported feature
}

// summarize returns the summary of the batch.
func (b *batch) summarize() batchSummary {
	sum := batchSummary{allReads: true, allSideEffectFree: true}
	locals, remotes := 0, 0
	var last statement
	for _, o := range b.ops {
		if o.sql == nil {
			sum.addUnknownSQL(o)
			if o.kind != opClose || o.portal {
				remotes++
			}
			continue
		}
		for _, s := range o.sql.statements {
			sum.addStatement(s)
			if s.isLocal() {
				locals++
			} else {
				remotes++
			}
			if o.kind == opExecute || o.kind == opQuery {
				sum.addExecuted(s)
				last = s
			}
		}
	}
	sum.allLocal = remotes == 0
	sum.partlyLocal = remotes > 0 && locals > 0
	sum.onlyBegin = sum.executed == 1 && last.kind == kindBegin && b.containsOnly(kindBegin)
	sum.onlyEnd = sum.executed == 1 && last.endsTx() && !last.chained
	return sum
}

// addUnknownSQL adds a message whose SQL text is unknown.
func (sum *batchSummary) addUnknownSQL(o op) {
	if o.kind != opExecute {
		return
	}
	sum.executed++
	sum.mayCommitInTx = true
	sum.allReads, sum.allSideEffectFree = false, false
}

// addStatement adds a statement that the batch parses, describes or runs.
func (sum *batchSummary) addStatement(s statement) {
	sum.allReads = sum.allReads && s.kind == kindRead
	sum.allSideEffectFree = sum.allSideEffectFree && s.sideEffectFree
	sum.anyWrite = sum.anyWrite || s.writes
	if s.kind == kindUnsupported && sum.unsupported == "" {
		sum.unsupported = s.name
	}
}

// addExecuted adds a statement that the batch runs.
func (sum *batchSummary) addExecuted(s statement) {
	sum.executed++
	if sum.executed > 1 || s.endsTx() {
		sum.mayCommitInTx = true
	}
	switch {
	case s.kind == kindBegin, s.endsTx() && s.chained:
		sum.leavesOpen = true
	case s.endsTx():
		sum.leavesOpen = false
	}
}

// containsOnly reports whether all statements of the batch are of the wanted
// kind. It ignores Close messages.
func (b *batch) containsOnly(want kind) bool {
	for _, o := range b.ops {
		if o.kind == opClose {
			continue
		}
		if o.sql == nil {
			return false
		}
		for _, s := range o.sql.statements {
			if s.kind != want {
				return false
			}
		}
	}
	return true
}

// endsTx reports whether the statement ends a transaction.
func (s statement) endsTx() bool { return s.kind == kindCommit || s.kind == kindRollback }

// isLocal reports whether the session answers the statement without a target in
// every transaction state except lost.
func (s statement) isLocal() bool {
	switch s.kind {
	case kindSet, kindReset, kindShow, kindDeallocateAll:
		return true
	}
	return false
}
