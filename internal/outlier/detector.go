// Package outlier finds a target that fails a part of its statements while its health
// check passes: it answers FAILED, resets connections, or doesn't answer. It decides from
// answers only, so that a false health answer of either kind has no effect.
package outlier

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// minFailedShare is the share of failed answers above which a target is ejected, and
	// minRatio how many times that of the others it must be. A statement that fails
	// everywhere raises the share of all targets alike.
	minFailedShare = 0.2
	minRatio       = 3
	// minAnswers and minFailed are the numbers of answers without which a share says
	// nothing. A target that fails one statement in 20 has 3 of 8 failed once in 200 times.
	minAnswers, minFailed = 8, 3
	// ProbeShare is the share of a group's reads that are still sent to an ejected target.
	ProbeShare = 1.0 / 20
	// goodProbes is how many consecutive good answers end an ejection. A target that
	// still fails 0.45 of its statements gives as many once in 400 times.
	goodProbes = 10
	// Answers are counted in buckets for window.
	buckets     = 10
	bucketWidth = 500 * time.Millisecond
	window      = buckets * bucketWidth
)

// counts are the answers of one target in the last seconds.
type counts struct {
	answers, failed [buckets]int
	newest          int64 // number of the newest bucket since the epoch
}

// advance drops the buckets that are older than the window.
func (c *counts) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketWidth)
	if bucket-c.newest >= buckets {
		*c = counts{newest: bucket}
	}
	for ; c.newest < bucket; c.newest++ {
		i := (c.newest + 1) % buckets
		c.answers[i], c.failed[i] = 0, 0
	}
}

func (c *counts) record(failed bool, now time.Time) {
	c.advance(now)
	i := c.newest % buckets
	c.answers[i]++
	if failed {
		c.failed[i]++
	}
}

func (c *counts) sum(now time.Time) (answers, failed int) {
	c.advance(now)
	for i := range buckets {
		answers, failed = answers+c.answers[i], failed+c.failed[i]
	}
	return answers, failed
}

// Change tells what an answer changed.
type Change uint8

// The changes.
const (
	None      Change = iota
	Ejected          // reads are routed away from the target
	Recovered        // the target gets its reads again: its answers are good
	Cleared          // the target gets its reads again: the others fail as well
)

// String returns the name used in logs and metrics.
func (c Change) String() string {
	return [...]string{None: "none", Ejected: "ejected", Recovered: "recovered", Cleared: "others_fail"}[c]
}

// Figures are the answers on which a change rests.
type Figures struct{ Answers, Failed, OthersAnswers, OthersFailed int }

// Detector watches the targets of one group. At most one of them is ejected at a time. The
// zero value is ready to use. It is not safe for concurrent use.
type Detector struct {
	targets map[topology.TargetID]*counts
	ejected topology.TargetID
	good    int // consecutive good answers of the ejected target
}

// Ejected returns the target that is ejected, "" if none is.
func (d *Detector) Ejected() topology.TargetID { return d.ejected }

// Forget removes a target that left the group or was replaced. It reports whether the
// target was ejected.
func (d *Detector) Forget(id topology.TargetID) bool {
	delete(d.targets, id)
	wasEjected := d.ejected == id && id != ""
	if wasEjected {
		d.ejected = ""
	}
	return wasEjected
}

// Record records an answer of a target. others is how many other targets of the group can
// serve reads. It returns the change of the target that is, or was, ejected.
func (d *Detector) Record(id topology.TargetID, failed bool, others int, now time.Time) (changed topology.TargetID, change Change, f Figures) {
	if d.targets == nil {
		d.targets = map[topology.TargetID]*counts{}
	}
	c := d.targets[id]
	if c == nil {
		c = &counts{}
		d.targets[id] = c
	}
	c.record(failed, now)
	if d.ejected == "" {
		if !failed || others == 0 {
			return "", None, f
		}
		if f = d.figures(id, now); f.isOutlier() {
			d.ejected, d.good = id, 0
			return id, Ejected, f
		}
		return "", None, f
	}
	if id == d.ejected {
		d.good++
		if failed {
			d.good = 0
		}
		if d.good >= goodProbes {
			f = d.figures(id, now)
			d.Forget(id) // its earlier failures would eject it again at once
			return id, Recovered, f
		}
		return "", None, f
	}
	if !failed {
		return "", None, f
	}
	if f = d.figures(d.ejected, now); f.othersFailAlike() {
		changed, d.ejected = d.ejected, ""
		return changed, Cleared, f
	}
	return "", None, f
}

// figures returns the answers of a target and of the others.
func (d *Detector) figures(id topology.TargetID, now time.Time) Figures {
	var f Figures
	for other, c := range d.targets {
		answers, failed := c.sum(now)
		if other == id {
			f.Answers, f.Failed = answers, failed
			continue
		}
		f.OthersAnswers, f.OthersFailed = f.OthersAnswers+answers, f.OthersFailed+failed
	}
	return f
}

// isOutlier reports whether the target fails clearly more than the others. Targets without
// answers count as good: if they aren't, the ejection ends as soon as they fail as well.
func (f *Figures) isOutlier() bool {
	if f.Answers < minAnswers || f.Failed < minFailed {
		return false
	}
	share := float64(f.Failed) / float64(f.Answers)
	return share > minFailedShare && share > minRatio*f.othersShare()
}

// othersFailAlike reports whether the others fail so much that the target is no outlier. While
// it is ejected it gets few reads, and its own share is taken as all failed if it gets none.
func (f *Figures) othersFailAlike() bool {
	if f.OthersAnswers < minAnswers || f.OthersFailed < minFailed {
		return false
	}
	share := 1.0
	if f.Answers > 0 {
		share = float64(f.Failed) / float64(f.Answers)
	}
	return share <= minRatio*f.othersShare()
}

func (f *Figures) othersShare() float64 {
	if f.OthersAnswers == 0 {
		return 0
	}
	return float64(f.OthersFailed) / float64(f.OthersAnswers)
}
