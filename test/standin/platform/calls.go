package platform

import (
	"sort"
	"sync"
)

// Call is the number of calls of one caller, by method and kind.
type Call struct {
	Caller string `json:"caller"`
	Method string `json:"method"` // get, list, put, delete or watch
	Kind   string `json:"kind"`
	Count  uint64 `json:"count"`
}

// Calls are the call counts of the stand-in.
type Calls struct {
	Total   uint64 `json:"total"`
	Reads   uint64 `json:"reads"` // gets, lists and watches
	Writes  uint64 `json:"writes"`
	Waiting int    `json:"waiting"` // watches that are waiting now
	Calls   []Call `json:"calls"`
}

type callKey struct{ caller, method, kind string }

type callCounter struct {
	mu      sync.Mutex
	counts  map[callKey]uint64
	waiting int
}

func newCallCounter() *callCounter { return &callCounter{counts: map[callKey]uint64{}} }

func (c *callCounter) add(caller, method, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[callKey{caller, method, kind}]++
}

func (c *callCounter) addWaiting(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += delta
}

func (c *callCounter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = map[callKey]uint64{}
}

func (c *callCounter) snapshot() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Calls{Waiting: c.waiting, Calls: []Call{}}
	for key, n := range c.counts {
		out.Calls = append(out.Calls, Call{Caller: key.caller, Method: key.method, Kind: key.kind, Count: n})
		out.Total += n
		if isWrite(key.method) {
			out.Writes += n
		} else {
			out.Reads += n
		}
	}
	sort.Slice(out.Calls, func(i, j int) bool { return out.Calls[i].less(out.Calls[j]) })
	return out
}

func (c Call) less(other Call) bool {
	if c.Caller != other.Caller {
		return c.Caller < other.Caller
	}
	if c.Method != other.Method {
		return c.Method < other.Method
	}
	return c.Kind < other.Kind
}

func isWrite(method string) bool { return method == "put" || method == "delete" }
