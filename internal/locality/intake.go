package locality

import (
	"math"
	"time"
)

const (
	// maxOptionalIntake bounds the statements that a host accepts from other domains
	// while its own callers wait, relative to its own. It isn't 0, so that other
	// domains notice when the shortage ends.
	maxOptionalIntake = 0.25
	// maxRequiredIntake is that bound for statements of domains without targets.
	// With one such domain of four, each other one gets a third of its own load on
	// average, and more than that while its own load is low.
	maxRequiredIntake = 1
	// intakeWindow is the time constant of the counts, about the goal of most
	// statements several times.
	intakeWindow = 1 * time.Second
	// warmUp is the time after its start in which a host accepts more and more
	// statements of other domains.
	warmUp = 5 * time.Second
)

// Intake decides which statements of other domains a host accepts for one group.
type Intake struct {
	startedAt time.Time
	own       float64 // recent statements of the own domain
	foreign   float64 // recent accepted statements of other domains
	countedAt time.Time
}

// NewIntake returns the intake of a host that starts to serve a group.
func NewIntake(now time.Time) *Intake { return &Intake{startedAt: now, countedAt: now} }

// decay reduces the counts with time.
func (i *Intake) decay(now time.Time) {
	if elapsed := now.Sub(i.countedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / intakeWindow.Seconds())
		i.own, i.foreign, i.countedAt = i.own*factor, i.foreign*factor, now
	}
}

// CountOwn counts a statement of the own domain.
func (i *Intake) CountOwn(now time.Time) {
	i.decay(now)
	i.own++
}

// Capacity is the state of the connections that would run a statement.
type Capacity struct {
	Open int
	Free int // negative if callers wait
}

// Admit decides whether to accept a statement of another domain, and counts it if
// so. required reports that the sender's domain has no targets.
func (i *Intake) Admit(required bool, c Capacity, now time.Time) bool {
	i.decay(now)
	if !i.allows(required, c, now) {
		return false
	}
	i.foreign++
	return true
}

func (i *Intake) allows(required bool, c Capacity, now time.Time) bool {
	bound := maxOptionalIntake
	if required {
		bound = maxRequiredIntake
	}
	if c.Free < 0 {
		return i.foreign+1 <= bound*i.own
	}
	if warm := now.Sub(i.startedAt).Seconds() / warmUp.Seconds(); warm < 1 && !required {
		return float64(c.Free) >= float64(c.Open)*(1-warm)
	}
	return true
}
