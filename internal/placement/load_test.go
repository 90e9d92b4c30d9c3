package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// The load that is played: many hosts without connections send statements to a
// few that hold some, whose load they are told seldom.
const (
	playedHosts   = 86
	playedHolders = 7
	playedConns   = 3                     // of each holder, to the leader
	playedHold    = 12 * time.Millisecond // so that all serve 1,750 a second
	playedRate    = 1300                  // a second: three quarters of that
	playedFor     = 20 * time.Second
	playedTrip    = 1 * time.Millisecond  // to a holder and back
	playedTold    = 8 * time.Second       // between two exchanges of a host with a holder
	playedWait    = 20 * time.Millisecond // what a caller should wait at most, almost always
)

// event is something that happens at a time of the play.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// holder is a host that runs statements: so many at once, the others wait.
type holder struct {
	id      topology.HostID
	working int
	waiting []func()
	ran     int
}

func (h *holder) load() Load {
	free := playedConns - h.working - len(h.waiting)
	return Load{Idle: free, LeaderIdle: free}
}

// play is the fleet, with a clock of its own.
type play struct {
	now     time.Time
	todo    events
	random  *rand.Rand
	holders []*holder
	loads   []Loads // of each host
	told    [][]Offer
	waits   []time.Duration
}

func newPlay() *play {
	p := &play{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(3, 4)), loads: make([]Loads, playedHosts)}
	for i := range playedHolders {
		p.holders = append(p.holders, &holder{id: topology.HostID(fmt.Sprint("holder-", i))})
	}
	for host := range playedHosts {
		var offers []Offer
		for i, h := range p.holders {
			offers = append(offers, Offer{Host: h.id, Leads: true, Near: i%3 == host%3})
		}
		p.told = append(p.told, offers)
		for i := range p.holders {
			p.after(time.Duration(p.random.Int64N(int64(playedTold))), func() { p.tell(host, i) })
		}
	}
	return p
}

func (p *play) after(d time.Duration, do func()) { heap.Push(&p.todo, event{p.now.Add(d), do}) }

// tell is an exchange of a host with a holder. What it tells counts for freshFor.
func (p *play) tell(host, i int) {
	o := &p.told[host][i]
	o.Load, o.At = p.holders[i].load(), p.now
	p.after(freshFor, func() { o.Load, o.At = Load{}, time.Time{} })
	p.after(playedTold, func() { p.tell(host, i) })
}

// send is a statement at a host: asked are the holders that had no free
// connection for it. The last one asked lets it wait.
func (p *play) send(host int, arrived time.Time, asked []topology.HostID) {
	offers := p.loads[host].Present("g", p.told[host], p.now)
	o, _ := Pick(offers, Need{Leader: true, Not: asked}, p.random.IntN)
	p.loads[host].Sent(o.Host, "g", p.now)
	i := slices.IndexFunc(p.holders, func(h *holder) bool { return h.id == o.Host })
	h := p.holders[i]
	if h.working == playedConns && len(asked)+1 < MostAsked {
		load := h.load()
		p.after(playedTrip, func() {
			p.loads[host].Answered(h.id, "g", load, p.now)
			p.send(host, arrived, append(asked, h.id))
		})
		return
	}
	p.arrive(h, host, arrived)
}

func (p *play) arrive(h *holder, host int, arrived time.Time) {
	run := func() {
		p.waits = append(p.waits, p.now.Sub(arrived))
		h.working++
		h.ran++
		p.after(time.Duration(p.random.ExpFloat64()*float64(playedHold)), func() { p.finish(h, host) })
	}
	if h.working < playedConns {
		run()
		return
	}
	h.waiting = append(h.waiting, run)
}

func (p *play) finish(h *holder, host int) {
	h.working--
	if len(h.waiting) > 0 {
		next := h.waiting[0]
		h.waiting = h.waiting[1:]
		next()
	}
	p.loads[host].Answered(h.id, "g", h.load(), p.now)
}

func (p *play) run() {
	end := p.now.Add(playedFor)
	var arrive func()
	arrive = func() {
		p.send(p.random.IntN(playedHosts), p.now, nil)
		p.after(time.Duration(p.random.ExpFloat64()*float64(time.Second)/playedRate), arrive)
	}
	arrive()
	for p.now.Before(end) {
		e := heap.Pop(&p.todo).(event)
		p.now = e.at
		e.do()
	}
}

// Three quarters of the load that the holders can serve together is spread so
// that hardly anybody waits. The first of the holders by plan got 70 of 100
// statements on a played day, and its callers waited or were refused.
func TestALoadBelowCapacityHardlyWaits(t *testing.T) {
	p := newPlay()
	p.run()
	long, most, all := 0, 0, 0
	for _, w := range p.waits {
		if w > playedWait {
			long++
		}
	}
	for _, h := range p.holders {
		most, all = max(most, h.ran), all+h.ran
	}
	t.Logf("%d of %d waited longer than %s; the busiest holder ran %d of %d", long, len(p.waits), playedWait, most, all)
	qt.Check(t, long < len(p.waits)/20, qt.IsTrue)
	qt.Check(t, most*playedHolders < all*3/2, qt.IsTrue)
}
