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

// databases that callers use. Reads of "own" see the session's own writes, reads
// of "latest" see the latest data.
var databases = []string{"own", "latest"}

// notRunCodes are the error codes that guarantee that a statement did not run.
var notRunCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}

const (
	// maxStatementTime is the limit for one statement: the route's timeout, the
	// longest freeze of a host, and a margin of 2 s for a busy machine.
	maxStatementTime = 3*time.Second + maxFaultDuration + 2*time.Second
	// transactionInterval n makes every n-th write of a caller a transaction.
	transactionInterval = 5
	redialWait          = 20 * time.Millisecond
)

// item is a value that a single caller writes. Its successive values are 1, 2, 3
// and so on.
type item struct {
	name  string
	acked int // last value that was acknowledged
	sent  int // last value that was sent
	// rejected holds the values whose write was reported as not run or not
	// committed.
	rejected map[int]bool
}

// checkValue returns an error if the value read is lower than lowest, was never
// sent, or belongs to a rejected write.
func (it *item) checkValue(got, lowest int) error {
	if got < lowest || got > it.sent {
		return errors.Newf("%s is %d, want %d to %d", it.name, got, lowest, it.sent)
	}
	if it.rejected[got] {
		return errors.Newf("%s is %d, a value whose write was rejected", it.name, got)
	}
	return nil
}

// caller writes an item and reads it back, through changing hosts.
type caller struct {
	id           int
	bed          *line.Bed
	fail         func(format string, args ...any)
	session      *line.Client
	dials        int
	database     string // that the session uses
	sessionAcked int    // last value acknowledged in this session
	item         *item
	items        []*item  // every item that the caller has written
	notRun       []string // ids of writes that were reported as not run
	served       int      // completed reads, writes and commits
}

func newCaller(bed *line.Bed, id int, fail func(string, ...any)) *caller {
	c := &caller{id: id, bed: bed, fail: fail}
	c.nextItem()
	return c
}

// nextItem switches to a new item, because the last write of the old one may
// still take effect.
func (c *caller) nextItem() {
	c.item = &item{name: fmt.Sprintf("c%d-%d", c.id, len(c.items)), rejected: map[int]bool{}}
	c.items = append(c.items, c.item)
	c.sessionAcked = 0
}

// run alternates writes and reads until stop is closed.
func (c *caller) run(stop <-chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
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
		if n%transactionInterval == 0 {
			c.runTransaction()
		} else {
			c.write()
		}
		c.read(n)
	}
}

// dial opens a session with the next host and reports whether that succeeded.
func (c *caller) dial() bool {
	c.dials++
	c.database = databases[c.dials%len(databases)]
	c.session = c.bed.Dial((c.id+c.dials)%len(c.bed.Hosts), c.database)
	c.sessionAcked = 0
	return c.session != nil
}

// exec runs one statement and fails the run if the statement exceeds
// maxStatementTime.
func (c *caller) exec(id, text string) (rows []string, result string) {
	sent := time.Now()
	rows, result, _ = c.session.Query(id + " " + text)
	if took := time.Since(sent); took > maxStatementTime {
		c.fail("%s took %s (%s)", id, took.Round(time.Millisecond), text)
	}
	if result == "" {
		c.session.Close()
		c.session = nil
	}
	return rows, result
}

// write writes the next value.
func (c *caller) write() {
	n, id, text := c.nextWrite()
	_, result := c.exec(id, text)
	if slices.Contains(notRunCodes, result) {
		c.notRun = append(c.notRun, id)
	}
	c.applyResult(n, result)
}

// nextWrite returns the next value and the id and text of the statement that
// writes it.
func (c *caller) nextWrite() (n int, id, text string) {
	c.item.sent++
	n = c.item.sent
	return n, writeID(c.item, n), fmt.Sprintf("WRITE %s %d", c.item.name, n)
}

func writeID(it *item, n int) string { return fmt.Sprintf("w-%s-%d", it.name, n) }

// applyResult records the result of the write or commit of value n. If the
// outcome is unknown, the caller switches to a new item.
func (c *caller) applyResult(n int, result string) {
	switch {
	case result == "COMPLETE":
		c.item.acked, c.sessionAcked = n, n
		c.served++
	case slices.Contains(notRunCodes, result):
		c.item.rejected[n] = true
	default:
		c.nextItem()
	}
}

// runTransaction writes the next value in a transaction and checks that the
// transaction reads this value before it commits.
func (c *caller) runTransaction() {
	n, id, text := c.nextWrite()
	if _, result := c.exec("b-"+id, "BEGIN"); result != "COMPLETE" {
		c.item.rejected[n] = true // nothing was written
		c.rollback()
		return
	}
	if _, result := c.exec(id, text); result != "COMPLETE" {
		c.item.rejected[n] = true // nothing was committed
		c.rollback()
		return
	}
	rows, result := c.exec("i-"+id, "READ "+c.item.name)
	if result == "COMPLETE" && itemNumber(rows) != n {
		c.fail("within the transaction %s is %v, want %d", c.item.name, rows, n)
	}
	if result == "" {
		c.item.rejected[n] = true
		return
	}
	_, result = c.exec("c-"+id, "COMMIT")
	c.applyResult(n, result)
}

// rollback rolls back a transaction that may be open.
func (c *caller) rollback() {
	if c.session != nil {
		c.exec(fmt.Sprintf("x-%d-%d", c.id, c.item.sent), "ROLLBACK")
	}
}

// read reads the item and checks the value: a session of the "own" database must
// see its own last write, one of "latest" every acknowledged write.
func (c *caller) read(n int) {
	if c.session == nil {
		return
	}
	lowest := c.sessionAcked
	if c.database == "latest" {
		lowest = c.item.acked
	}
	rows, result := c.exec(fmt.Sprintf("r-%d-%d", c.id, n), "READ "+c.item.name)
	if result != "COMPLETE" {
		return
	}
	c.served++
	if err := c.item.checkValue(itemNumber(rows), lowest); err != nil {
		c.fail("read of %s: %v", c.database, err)
	}
}

// itemNumber returns the item's value in the rows: 0 if the item was never
// written, -1 if the rows are not a single number.
func itemNumber(rows []string) int {
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
