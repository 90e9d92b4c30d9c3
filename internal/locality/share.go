package locality

import (
	"math"
	"time"
)

// UpdateInterval is the time between two updates of a share: a few times as long as
// most statements take, so that the effect of a change can be seen.
const UpdateInterval = 200 * time.Millisecond

const (
	// maxRise and maxFall limit the change of a share in one second. Other hosts
	// decide at the same time from the same figures; a share that jumps makes all of
	// them send to the same domain, and then all withdraw.
	maxRise = 0.8
	maxFall = 0.8
	// returnTime is the time in which the work comes back to a domain that had no
	// targets. They are cold and would get the whole load at once.
	returnTime = 5 * time.Second
	// coldAfter is how long a domain must have been without targets for that.
	coldAfter = 2 * time.Second
	// headroom is the share relative to the part of the work for which leaving pays.
	// Queues vary from one statement to the next, so that a share without headroom
	// would withhold what pays.
	headroom = 1.5
	// holdFraction is how far the wanted share must be below the share before it
	// falls, so that it doesn't follow each variation of a queue.
	holdFraction = 0.5
	// startMargin is the smallest gain for which a statement leaves, as a fraction of
	// its cost in the domain.
	startMargin = 0.3
	// lateFactor is the cost of a second beyond the goal relative to one before it.
	// A late answer is worth a tenth to a third of one in time.
	lateFactor = 4
	// freshFor is how long a figure is fully trusted; after it the weight halves with
	// each staleHalfLife. A statement that was sent out is answered within a second
	// or lost.
	freshFor      = 1 * time.Second
	staleHalfLife = 500 * time.Millisecond
	// decayTime is the time in which a share falls to its safe value while the
	// figures have no weight.
	decayTime = 1 * time.Second
	// probeShare is the largest share while nothing is known of other domains, and
	// the part of the work that stays in a domain with targets, so that both sides
	// continue to be measured.
	probeShare = 0.05
	// minShare is the smallest share other than 0.
	minShare = 0.001
	// defaultGoal applies where a route has no latency goal.
	defaultGoal = 250 * time.Millisecond
	// maxRefused is the part of the statements sent out that may be refused without a
	// fall of the share.
	maxRefused = 0.5
	// unansweredLimit is how many statements in succession other domains don't answer
	// before none is sent there for minBackoff. The backoff doubles up to maxBackoff
	// with each further one: if a link is cut in one direction, each costs a caller its
	// answer.
	unansweredLimit = 3
	minBackoff      = 1 * time.Second
	maxBackoff      = 16 * time.Second
	// demandWeight is the weight of one interval in the part of the work for which
	// leaving pays.
	demandWeight = 0.5
	// creditIntervals bounds the unused part of a share that may be used later, in
	// update intervals.
	creditIntervals = 5
)

// Figure is the expected time to the answer, including queue, service and distance.
type Figure struct {
	Expected   time.Duration
	MeasuredAt time.Time // zero: unknown
	// Short reports that callers wait there already, so that more work makes others
	// wait.
	Short bool
	// Available reports whether any target can be reached there.
	Available bool
}

// weight returns how far the figure can be trusted, from 0 to 1.
func (f *Figure) weight(now time.Time) float64 {
	if f.MeasuredAt.IsZero() {
		return 0
	}
	excess := now.Sub(f.MeasuredAt) - freshFor
	if excess <= 0 {
		return 1
	}
	return math.Exp2(-excess.Seconds() / staleHalfLife.Seconds())
}

// Input is what a share is computed from.
type Input struct {
	Home, Away Figure
	// Unmeasured is the expected time in other domains if none was measured there.
	Unmeasured time.Duration
	Bytes      float64 // of one statement that crosses domains
	Served     int     // statements that other domains answered since the last update
	Refused    int     // statements that no other domain accepted
	Lost       int     // statements that were sent there and not answered
	Prices     Prices
}

// Share is the part of the work that may be sent to other domains. Before the first
// update nothing is sent.
type Share struct {
	value       float64
	reason      Reason
	in          Input
	away        time.Duration // expected time in other domains, with regard to the age of its figure
	homeTrust   float64
	updatedAt   time.Time
	raisedAt    time.Time
	noHomeSince time.Time // since when the domain has no targets; zero: it has some
	returning   float64   // part of the work that still leaves after the domain's targets came back
	returned    float64   // statements that leave for this reason
	unanswered  int       // statements in succession without an answer
	backoff     time.Duration
	backoffEnd  time.Time
	refused     float64 // part of the statements sent out that were refused, at refusedAt
	refusedAt   time.Time
	awayTrust   float64 // weight of the away figure
	refusedSent int     // statements sent out by SendsRefused since the last update
	asked       int     // statements since the last update
	paying      int     // of these, for which leaving pays
	demand      float64 // average of paying/asked
	credit      float64 // statements that may leave
	maxCredit   float64
	priority    float64 // mean priority of recent statements
}

// Reason tells why a share has its value.
type Reason string

// The reasons.
const (
	Held       Reason = "held"
	NoTargets  Reason = "no_targets_in_domain"
	NoneAway   Reason = "no_targets_elsewhere"
	Cheaper    Reason = "cheaper_elsewhere"
	Dearer     Reason = "dearer_elsewhere"
	AllShort   Reason = "short_elsewhere"
	RefusedOut Reason = "refused_elsewhere"
	Stale      Reason = "stale_figures"
	Unanswered Reason = "unanswered_elsewhere"
	Probing    Reason = "not_measured_elsewhere"
	Returning  Reason = "targets_returned"
)

// Value returns the share, from 0 to 1.
func (s *Share) Value() float64 { return max(s.value, s.returning) }

// Reason returns why the share has its value.
func (s *Share) Reason() Reason { return s.reason }

// Required reports whether the domain has no targets, so that all work must leave.
func (s *Share) Required() bool { return !s.updatedAt.IsZero() && !s.in.Home.Available }

// Returning reports whether the domain's targets came back a short time ago, so that
// part of the work still leaves.
func (s *Share) Returning() bool { return s.returning > 0 && s.in.Home.Available }

// Update computes the share anew.
func (s *Share) Update(in Input, now time.Time) {
	elapsed := UpdateInterval.Seconds()
	if s.updatedAt.IsZero() {
		s.credit = 1 // the first statement for which leaving pays measures other domains
	} else {
		elapsed = min(now.Sub(s.updatedAt), 5*UpdateInterval).Seconds()
	}
	if s.asked > 0 {
		s.demand += demandWeight * (float64(s.paying)/float64(s.asked) - s.demand)
	}
	trust := in.Away.weight(now)
	s.in, s.updatedAt, s.homeTrust = in, now, in.Home.weight(now)
	s.away = in.Unmeasured + time.Duration(trust*float64(in.Away.Expected-in.Unmeasured))
	switch {
	case !in.Home.Available:
		if s.noHomeSince.IsZero() {
			s.noHomeSince = now
		}
		s.returning, s.reason = 1, NoTargets // the value is kept: the absence may be short
	case !in.Away.Available:
		s.value, s.returning, s.noHomeSince, s.reason = 0, 0, time.Time{}, NoneAway
	default:
		if !s.noHomeSince.IsZero() && now.Sub(s.noHomeSince) < coldAfter {
			s.returning = 0
		}
		s.noHomeSince = time.Time{}
		s.returning = max(0, s.returning-elapsed/returnTime.Seconds())
		s.noteUnanswered(now)
		s.step(trust, elapsed, now)
	}
	s.maxCredit = max(1, creditIntervals*s.value*float64(s.asked))
	s.credit = min(s.credit, s.maxCredit)
	s.asked, s.paying, s.refusedSent, s.awayTrust = 0, 0, 0, trust
}

// step changes the share by at most what its limits allow in the elapsed seconds.
func (s *Share) step(trust, elapsed float64, now time.Time) {
	wanted := min(1, headroom*s.demand)
	refused := float64(s.in.Refused) / float64(max(1, s.in.Refused+s.in.Served+s.in.Lost))
	if in := &s.in; in.Refused+in.Served+in.Lost > 0 {
		s.refused, s.refusedAt = refused, now
	}
	s.reason = Held
	switch {
	case now.Before(s.backoffEnd):
		s.value, s.reason = max(0, s.value-maxFall*elapsed), Unanswered
	case s.in.Away.Short:
		s.value, s.reason = max(0, s.value-maxFall*elapsed), AllShort
	case refused > maxRefused:
		s.value, s.reason = max(0, s.value-maxFall*refused*elapsed), RefusedOut
	case wanted > s.value && !s.awaitsEffect():
		s.value, s.reason, s.raisedAt = min(wanted, s.value+maxRise*elapsed), Cheaper, now
	case wanted < holdFraction*s.value:
		s.value, s.reason = max(wanted, s.value-maxFall*elapsed), Dearer
	}
	if limit := max(probeShare, trust); s.value > limit {
		s.value = max(limit, s.value-elapsed/decayTime.Seconds())
		s.reason = Stale
		if s.in.Away.MeasuredAt.IsZero() {
			s.reason = Probing
		}
	}
	if s.value = min(s.value, 1-probeShare); s.value < minShare {
		s.value = 0
	}
	if s.returning > s.value {
		s.reason = Returning
	}
}

// noteUnanswered begins a backoff after several unanswered statements in
// succession, and ends it with the first answer.
func (s *Share) noteUnanswered(now time.Time) {
	switch {
	case s.in.Served > 0:
		s.unanswered, s.backoff, s.backoffEnd = 0, 0, time.Time{}
		return
	case now.Before(s.backoffEnd):
		return
	}
	s.unanswered += s.in.Lost
	if s.unanswered >= unansweredLimit && s.in.Lost > 0 {
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.backoffEnd = now.Add(s.backoff)
	}
}

// awaitsEffect reports whether the figures of other domains are older than the last
// rise: what was sent since isn't part of them yet.
func (s *Share) awaitsEffect() bool {
	return s.value > probeShare && s.in.Away.MeasuredAt.Before(s.raisedAt)
}

// Work describes one statement.
type Work struct {
	Goal     time.Duration // in which it should be answered; 0: none
	TimeLeft time.Duration // until its deadline
	Priority int           // 0: most urgent
	// Home is the expected time in the domain at this moment; 0: the measured figure
	// applies.
	Home time.Duration
	// Queue is the part of Home that the statement waits for others. If it stays, those
	// that come after it wait longer by its service, so that this part counts twice.
	Queue time.Duration
}

// priorityWeight is the weight of one statement in the mean priority.
const priorityWeight = 1.0 / 32

// Leaves decides whether a statement is sent to another domain, and counts it.
func (s *Share) Leaves(w Work) bool {
	if s.updatedAt.IsZero() || !s.in.Home.Available {
		s.asked++
		return !s.updatedAt.IsZero()
	}
	s.asked++
	s.credit = min(s.credit+s.value, s.maxCredit)
	if !s.in.Away.Available {
		return false
	}
	if s.returned += s.returning; s.returned >= 1 {
		s.returned--
		return true
	}
	if !s.pays(&w) {
		return false
	}
	s.paying++
	if s.value == 0 || s.credit < s.requiredCredit(w.Priority) {
		return false
	}
	s.credit--
	return true
}

// SendsRefused decides whether a statement that the domain refused is sent to another one,
// beyond the share. A refusal costs more than bytes, but in a shortage everywhere it
// would only move: so others must answer within the goal as far as is known, and have
// refused little at the last update.
func (s *Share) SendsRefused(w Work, now time.Time) bool {
	in := &s.in
	switch {
	case s.updatedAt.IsZero(), !in.Away.Available, in.Away.Short, now.Before(s.backoffEnd), s.unanswered >= unansweredLimit:
		return false
	case s.refused > maxRefused && now.Sub(s.refusedAt) < freshFor:
		return false
	case s.away > w.goal() || s.away > w.TimeLeft, s.awayTrust < minRefusedSentTrust && s.refusedSent > 0:
		return false
	}
	s.refusedSent++
	return true
}

// minRefusedSentTrust is the weight of the figure of other domains below which a single
// statement is sent there between two updates, to measure them.
const minRefusedSentTrust = 0.5

// requiredCredit returns the credit that a statement needs to leave. More urgent
// statements than the average may leave before the credit is earned, and less urgent
// ones leave the next one to others.
func (s *Share) requiredCredit(priority int) float64 {
	relative := math.Max(-1, math.Min(1, float64(priority)-s.priority))
	s.priority += priorityWeight * (float64(priority) - s.priority)
	return min(1+relative, s.maxCredit)
}

// pays reports whether a statement costs less in other domains.
func (s *Share) pays(w *Work) bool {
	home := w.Home
	if home == 0 {
		if home = s.in.Home.Expected; s.homeTrust < minHomeTrust {
			return false
		}
	}
	if s.away > w.TimeLeft {
		return false
	}
	cost := w.delayCost(home) + w.Queue
	gain := cost - w.delayCost(s.away) - s.in.Prices.delayForBytes(s.in.Bytes)
	return gain > time.Duration(startMargin*float64(cost))
}

// minHomeTrust is the weight of the domain's own figure below which it is no reason
// to leave.
const minHomeTrust = 0.25

func (w *Work) goal() time.Duration {
	if w.Goal <= 0 {
		return defaultGoal
	}
	return w.Goal
}

// delayCost returns the cost of an expected time, as a delay before the goal.
func (w *Work) delayCost(expected time.Duration) time.Duration {
	goal := w.goal()
	if w.TimeLeft > 0 {
		expected = min(expected, max(w.TimeLeft, goal)) // the caller doesn't wait longer
	}
	if late := expected - goal; late > 0 {
		return goal + lateFactor*late
	}
	return expected
}
