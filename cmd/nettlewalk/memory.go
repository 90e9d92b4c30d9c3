package main

import (
	"os"
	"runtime/debug"

	"nettlewalk.example/nettlewalk/internal/membudget"
)

// defaultGCPercent is the GOGC value outside the users' platform. The live heap
// of a host is small and each statement allocates much, so that the runtime's
// default of 100 would collect too often.
const defaultGCPercent = 400

// platformGCPercent is the GOGC value on the users' platform, where memory costs
// more than CPU time: at low load, 50 instead of 400 reduces the memory of a
// host from 19.2 MB to 7.3 MB and uses 10% more CPU time.
const platformGCPercent = 50

// The parts of the memory limit that large messages may take at the same time. Answers have
// their own, as statements that hold memory wait for them.
const (
	largeStatementsShare = 0.25
	largeAnswersShare    = 0.125
	// memoryLimitShare is the part from which on the runtime collects more often. Memory
	// outside its count, such as what the kernel has received, needs the rest.
	memoryLimitShare = 0.75
)

// newMemoryBudgets returns the budgets of large statements and of large answers, nil if the
// settings have no memory limit.
func newMemoryBudgets(limit int64) (statements, answers *membudget.Budget) {
	if limit <= 0 {
		return nil, nil
	}
	return membudget.New("statements", int64(largeStatementsShare*float64(limit))), membudget.New("answers", int64(largeAnswersShare*float64(limit)))
}

// setMemoryLimit sets the runtime's memory limit unless GOMEMLIMIT is set in the environment.
func setMemoryLimit(limit int64) {
	if limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
}

// setGCPercent sets the garbage collection target unless GOGC is set in the environment.
func setGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
