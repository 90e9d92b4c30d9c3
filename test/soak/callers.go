package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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
	longest = 3*time.Second + greatestFor + 2*time.Second
	// everyTransaction is how many writes there are for each transaction.
	everyTransaction = 5
	redialWait       = 20 * time.Millisecond
)

// item is one value that one caller writes, numbers that grow by one.
type item struct {
	name  string
	acked int // last number that was acknowledged
	tried int // last number that was sent
	// denied are numbers of which the caller was promised that they aren't kept.
	denied map[int]bool
}

// check returns what is wrong with a number that was read.
func (it *item) check(got, least int) error {
	if got < least || got > it.tried {
		return errors.Newf("%s is %d, want %d to %d", it.name, got, least, it.tried)
	}
	if it.denied[got] {
		return errors.Newf("%s is %d, which was promised not to be kept", it.name, got)
	}
	return nil
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
	c.item = &item{name: fmt.Sprintf("c%d-%d", c.id, len(c.items)), denied: map[int]bool{}}
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
		if n%everyTransaction == 0 {
			c.transaction()
		} else {
			c.write()
		}
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

// write writes the next number.
func (c *caller) write() {
	n, id, text := c.next()
	_, result := c.ask(id, text)
	if slices.Contains(promises, result) {
		c.notRun = append(c.notRun, id)
	}
	c.take(n, result)
}

// next returns the next number and the statement that writes it.
func (c *caller) next() (n int, id, text string) {
	c.item.tried++
	n = c.item.tried
	return n, writeID(c.item, n), fmt.Sprintf("WRITE %s %d", c.item.name, n)
}

func writeID(it *item, n int) string { return fmt.Sprintf("w-%s-%d", it.name, n) }

// take learns from the result of a write or commit.
func (c *caller) take(n int, result string) {
	switch {
	case result == "COMPLETE":
		c.item.acked, c.own = n, n
		c.served++
	case slices.Contains(promises, result):
		c.item.denied[n] = true
	default:
		c.nextItem()
	}
}

// transaction writes the next number in a transaction, which sees it before its end.
func (c *caller) transaction() {
	n, id, text := c.next()
	if _, result := c.ask("b-"+id, "BEGIN"); result != "COMPLETE" {
		c.item.denied[n] = true // nothing was written
		c.leave()
		return
	}
	if _, result := c.ask(id, text); result != "COMPLETE" {
		c.item.denied[n] = true // nothing was committed
		c.leave()
		return
	}
	rows, result := c.ask("i-"+id, "READ "+c.item.name)
	if result == "COMPLETE" && number(rows) != n {
		c.fail("in its transaction %s is %v, want %d", c.item.name, rows, n)
	}
	if result == "" {
		c.item.denied[n] = true
		return
	}
	_, result = c.ask("c-"+id, "COMMIT")
	c.take(n, result)
}

// leave rolls back what may be open.
func (c *caller) leave() {
	if c.session != nil {
		c.ask(fmt.Sprintf("x-%d-%d", c.id, c.item.tried), "ROLLBACK")
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
	if err := c.item.check(number(rows), least); err != nil {
		c.fail("read of %s: %v", c.at, err)
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
