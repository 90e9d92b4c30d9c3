package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/test/line"
)

// databases of the callers: reads of the first see the session's own writes,
// those of the second the latest data.
var databases = []string{"own", "latest"}

// promises are the codes that say that a statement did not run.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}

const (
	// longest is how long a statement may take: its route's time, the longest
	// freeze of a host, and two seconds for a busy machine.
	longest    = 3*time.Second + greatestFor + 2*time.Second
	redialWait = 20 * time.Millisecond
)

// item is one value that one caller writes, numbers that grow by one.
type item struct {
	name  string
	acked int // last number that was acknowledged
	tried int // last number that was sent
}

// caller writes an item and reads it back, at one host or another.
type caller struct {
	id      int
	bed     *line.Bed
	fail    func(format string, args ...any)
	session *line.Client
	dials   int
	at      string // database of the session
	own     int    // number that the session had acknowledged last
	item    *item
	items   []*item  // all of it
	notRun  []string // ids of writes that were promised not to have run
	served  int
}

func newCaller(bed *line.Bed, id int, fail func(string, ...any)) *caller {
	c := &caller{id: id, bed: bed, fail: fail}
	c.nextItem()
	return c
}

// nextItem leaves an item whose last write may still take effect.
func (c *caller) nextItem() {
	c.item = &item{name: fmt.Sprintf("c%d-%d", c.id, len(c.items))}
	c.items = append(c.items, c.item)
	c.own = 0
}

func (c *caller) run(stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c.session == nil && !c.dial() {
			time.Sleep(redialWait)
			continue
		}
		c.write()
		c.read(n)
	}
}

// dial begins a session at the next host.
func (c *caller) dial() bool {
	c.dials++
	c.at = databases[c.dials%len(databases)]
	c.session = c.bed.Dial((c.id+c.dials)%len(c.bed.Hosts), c.at)
	c.own = 0
	return c.session != nil
}

// ask sends one statement and judges its time.
func (c *caller) ask(id, text string) (rows []string, result string) {
	sent := time.Now()
	rows, result, _ = c.session.Query(id + " " + text)
	if took := time.Since(sent); took > longest {
		c.fail("%s took %s (%s)", id, took.Round(time.Millisecond), text)
	}
	if result == "" {
		c.session.Close()
		c.session = nil
	}
	return rows, result
}

func (c *caller) write() {
	c.item.tried++
	n, id := c.item.tried, fmt.Sprintf("w-%s-%d", c.item.name, c.item.tried)
	_, result := c.ask(id, fmt.Sprintf("WRITE %s %d", c.item.name, n))
	switch {
	case result == "COMPLETE":
		c.item.acked, c.own = n, n
		c.served++
	case slices.Contains(promises, result):
		c.notRun = append(c.notRun, id)
	default:
		c.nextItem()
	}
}

// read checks what the session must see: its own last write, or the latest.
func (c *caller) read(n int) {
	if c.session == nil {
		return
	}
	least := c.own
	if c.at == "latest" {
		least = c.item.acked
	}
	rows, result := c.ask(fmt.Sprintf("r-%d-%d", c.id, n), "READ "+c.item.name)
	if result != "COMPLETE" {
		return
	}
	c.served++
	if got := number(rows); got < least || got > c.item.tried {
		c.fail("%s of %s: read %d, want %d to %d", c.at, c.item.name, got, least, c.item.tried)
	}
}

// number returns an item's number, 0 if it was never written.
func number(rows []string) int {
	if len(rows) != 1 {
		return -1
	}
	if rows[0] == "-" {
		return 0
	}
	n, err := strconv.Atoi(rows[0])
	if err != nil {
		return -1
	}
	return n
}
