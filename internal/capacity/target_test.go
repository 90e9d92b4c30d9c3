package capacity

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

var start = time.Unix(1000, 0)

func hostIDs(n int) []topology.HostID {
	ids := make([]topology.HostID, n)
	for i := range ids {
		ids[i] = topology.HostID(fmt.Sprintf("h%d", i))
	}
	return ids
}

// waiting returns figures of n statements of each customer that wait at a priority.
func waiting(priority, n int, customers ...topology.CustomerID) Figures {
	f := Figures{Pool: 1, InFlight: 1}
	var list []CustomerDemand
	for _, c := range customers {
		f.Waiting[priority] += n
		list = append(list, CustomerDemand{Customer: CustomerKey(c), Priority: priority, Count: n})
	}
	f.SetCustomers(list)
	return f
}

// divideOften divides n times with unchanged figures and returns the mean allocations.
func divideOften(t *Target, n int, hosts []topology.HostID, figures map[topology.HostID]Figures) map[topology.HostID]float64 {
	mean := map[topology.HostID]float64{}
	now := start
	for range n {
		for id, f := range figures {
			t.Note(id, f, now)
		}
		for id, allocation := range t.Divide(hosts, now) {
			mean[id] += float64(allocation)
		}
		now = now.Add(Interval)
	}
	for id := range mean {
		mean[id] /= float64(n)
	}
	return mean
}

// A customer whose statements come from four holders gets no more than one whose statements
// come from one holder.
func TestCustomerShareDoesNotDependOnHolders(t *testing.T) {
	hosts := hostIDs(5)
	figures := map[topology.HostID]Figures{hosts[4]: waiting(1, 40, "small")}
	for _, id := range hosts[:4] {
		figures[id] = waiting(1, 40, "large")
	}
	mean := divideOften(NewTarget(8), 100, hosts, figures)
	qt.Check(t, mean[hosts[4]] >= 5.9 && mean[hosts[4]] <= 6.1, qt.IsTrue, qt.Commentf("%v", mean))
	for _, id := range hosts[:4] {
		qt.Check(t, mean[id] >= 1.4 && mean[id] <= 1.6, qt.IsTrue, qt.Commentf("%v", mean))
	}
}

// A holder with many urgent statements gets all but the one of each other holder, whatever
// waits there.
func TestUrgentStatementsComeFirst(t *testing.T) {
	hosts := hostIDs(3)
	mean := divideOften(NewTarget(4), 50, hosts, map[topology.HostID]Figures{
		hosts[0]: waiting(0, 10, "a"), hosts[1]: waiting(1, 100, "b", "c"), hosts[2]: waiting(2, 100, "d"),
	})
	qt.Check(t, mean[hosts[0]] >= 5.9, qt.IsTrue, qt.Commentf("%v", mean))
	qt.Check(t, mean[hosts[1]], qt.Equals, 1.0)
	qt.Check(t, mean[hosts[2]], qt.Equals, 1.0)
}

// What idle holders don't use goes to the one at which statements wait.
func TestIdleHoldersLendTheirPart(t *testing.T) {
	hosts := hostIDs(6)
	figures := map[topology.HostID]Figures{}
	for _, id := range hosts[1:] {
		figures[id] = Figures{}
	}
	figures[hosts[0]] = waiting(1, 20, "a")
	mean := divideOften(NewTarget(4), 10, hosts, figures)
	qt.Check(t, mean[hosts[0]], qt.Equals, 6.0)
	qt.Check(t, mean[hosts[1]], qt.Equals, 1.0)
}

// While hardly anything waits, each holder may use all work slots. Dividing then made
// statements wait longer than at an independent limit.
func TestCapacityIsDividedOnlyWhileStatementsWait(t *testing.T) {
	hosts := hostIDs(6)
	figures := map[topology.HostID]Figures{}
	for _, id := range hosts {
		figures[id] = waiting(1, 1, "a")
	}
	mean := divideOften(NewTarget(4), 10, hosts, figures)
	qt.Check(t, mean[hosts[0]], qt.Equals, 4.0)
	figures[hosts[1]] = waiting(1, 2, "a")
	mean = divideOften(NewTarget(4), 10, hosts, figures)
	qt.Check(t, mean[hosts[0]], qt.Equals, 1.0)
}

// The part of a silent holder stays free while it is listed, and is divided after it left
// the list. What it had counts for a second.
func TestPartOfSilentHolderIsDividedOnceItLeftTheList(t *testing.T) {
	hosts := hostIDs(2)
	target := NewTarget(4)
	now := start
	for range 40 {
		target.Note(hosts[0], waiting(1, 20, "a"), now)
		target.Note(hosts[1], waiting(1, 20, "b"), now)
		target.Divide(hosts, now)
		now = now.Add(Interval)
	}
	divide := func(listed []topology.HostID) int {
		target.Note(hosts[0], waiting(1, 20, "a"), now)
		return target.Divide(listed, now)[hosts[0]]
	}
	now = now.Add(MaxAge / 2)
	qt.Check(t, divide(hosts[:1]), qt.Equals, 3) // its statements may still be in flight
	now = now.Add(MaxAge)
	qt.Check(t, divide(hosts), qt.Equals, 3)
	qt.Check(t, divide(hosts[:1]), qt.Equals, 6)
}

// The capacity falls when the target refuses statements or is slow, once for the answers
// of one period, and rises again to the usual one.
func TestCapacityFollowsTarget(t *testing.T) {
	hosts := hostIDs(1)
	target := NewTarget(4)
	now := start
	step := func(f Figures, n int) int {
		for range n {
			f.Pool, f.InFlight = 1, 4
			target.Note(hosts[0], f, now)
			target.Divide(hosts, now)
			now = now.Add(Interval)
		}
		return target.Capacity()
	}
	qt.Check(t, step(Figures{}, 5), qt.Equals, 6)
	qt.Check(t, step(Figures{Refused: 1}, 1), qt.Equals, 4)
	qt.Check(t, step(Figures{Refused: 1}, 5), qt.Equals, 6)
	qt.Check(t, step(Figures{Refused: 1, Slowness: 300}, 1), qt.Equals, 4)
	qt.Check(t, step(Figures{Refused: 1, Slowness: 300}, 2), qt.Equals, 4)
	qt.Check(t, step(Figures{Refused: 1, Slowness: 900}, 30), qt.Equals, 1)
	qt.Check(t, step(Figures{Refused: 1, Slowness: 120}, 5), qt.Equals, 6)
	// The counter of another pool begins anew.
	target.Note(hosts[0], Figures{Pool: 2, InFlight: 4, Refused: 9}, now)
	target.Divide(hosts, now)
	qt.Check(t, target.Capacity(), qt.Equals, 6)
}

// drawFigures draws figures as a holder or as a faulty host may send them.
func drawFigures(t *rapid.T, valid bool) Figures {
	least := 0
	if !valid {
		least = -3
	}
	f := Figures{Pool: rapid.Uint64Range(0, 2).Draw(t, "pool"), InFlight: rapid.IntRange(least, 9).Draw(t, "in flight")}
	for p := range Priorities {
		f.Waiting[p] = rapid.IntRange(least, 50).Draw(t, "waiting")
		f.Started[p] = rapid.IntRange(least, 20).Draw(t, "started")
	}
	f.Refused = rapid.IntRange(least, 3).Draw(t, "refused")
	f.Slowness = rapid.IntRange(least, 1000).Draw(t, "slowness")
	f.Others = rapid.IntRange(least, 30).Draw(t, "others")
	for range rapid.IntRange(0, 6).Draw(t, "customers") {
		f.Customers = append(f.Customers, CustomerDemand{
			Customer: uint32(rapid.IntRange(0, 5).Draw(t, "customer")),
			Priority: rapid.IntRange(least, Priorities-least-1).Draw(t, "priority"), Count: rapid.IntRange(least, 60).Draw(t, "count"),
		})
	}
	return f
}

// Whatever holders report, each has at least one. While statements wait, those with recent
// figures have at most one each beyond the capacity that the silent ones leave. All together
// never exceed the work slots and queue.
func TestAllocationsStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		hosts := hostIDs(rapid.IntRange(1, 8).Draw(t, "holders"))
		target := NewTarget(slots)
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			for _, id := range hosts {
				if rapid.IntRange(0, 2).Draw(t, "silent") > 0 {
					target.Note(id, drawFigures(t, rapid.IntRange(0, 3).Draw(t, "valid") > 0), now)
				}
			}
			listed := hosts[:rapid.IntRange(0, len(hosts)).Draw(t, "listed")]
			allocations, sum, silent, recent := target.Divide(listed, now), 0, 0, 0
			for id, n := range allocations {
				sum += n
				if target.holders[id].recent(now) {
					recent++
				} else {
					silent += n
				}
				if n < 1 || n > MaxAllocation(slots, len(allocations)) {
					t.Fatalf("allocation %d of %s", n, id)
				}
			}
			for _, id := range listed {
				if allocations[id] == 0 {
					t.Fatalf("no allocation of %s", id)
				}
			}
			if capacity := target.Capacity(); capacity < 1 || capacity > Base(slots) || sum > slots+targetQueue || target.contended(now) && sum-silent > max(capacity-silent, 0)+recent {
				t.Fatalf("%d allocated of %d to %d holders", sum, capacity, len(allocations))
			}
		}
	})
}

// Holders that apply decisions of different coordinators don't exceed the target's work
// slots and queue together.
func TestAnyDecisionsStayWithinTarget(t *testing.T) {
	for slots := 1; slots <= 5; slots++ {
		for holders := 1; holders <= slots+targetQueue; holders++ {
			largest := max(MaxAllocation(slots, holders), EqualAllocation(slots, holders))
			qt.Check(t, largest*holders <= slots+targetQueue, qt.IsTrue, qt.Commentf("%d slots, %d holders", slots, holders))
		}
	}
}

// Figures that a faulty host sends count as none.
func TestInvalidFiguresAreIgnored(t *testing.T) {
	invalid := []Figures{
		{InFlight: -1}, {InFlight: 1 << 40}, {Others: -1}, {Refused: -1}, {Slowness: -1},
		{Waiting: [Priorities]int{0, -1}}, {Started: [Priorities]int{1 << 40}},
		{Customers: []CustomerDemand{{Priority: Priorities}}}, {Customers: []CustomerDemand{{Priority: -1}}},
		{Customers: []CustomerDemand{{Count: -1}}}, {Customers: make([]CustomerDemand, listedCustomers+1)},
	}
	hosts := hostIDs(2)
	for _, f := range invalid {
		target := NewTarget(4)
		target.Note(hosts[0], f, start)
		qt.Check(t, target.Divide(hosts, start)[hosts[0]], qt.Equals, EqualAllocation(4, 2), qt.Commentf("%+v", f))
	}
}
