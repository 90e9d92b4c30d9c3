package platform

import (
	"sort"
	"sync"
)

// Call counts the calls of one caller by method and kind.
type Call struct {
	Caller string `json:"caller"`
	Method string `json:"method"` // get, list, put, delete or watch
	Kind   string `json:"kind"`
	Count  uint64 `json:"count"`
}

// Calls is what the stand-in has counted.
type Calls struct {
	Total   uint64 `json:"total"`
	Reads   uint64 `json:"reads"` // gets, lists and watches
	Writes  uint64 `json:"writes"`
	Waiting int    `json:"waiting"` // watches that wait now
	Calls   []Call `json:"calls"`
}

type callKey struct{ caller, method, kind string }

type counter struct {
	mu      sync.Mutex
	counts  map[callKey]uint64
	waiting int
}

func newCounter() *counter { return &counter{counts: map[callKey]uint64{}} }

func (c *counter) add(caller, method, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[callKey{caller, method, kind}]++
}

func (c *counter) wait(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += delta
}

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = map[callKey]uint64{}
}

func (c *counter) snapshot() Calls {
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
	sort.Slice(out.Calls, func(i, j int) bool { return out.Calls[i].before(out.Calls[j]) })
	return out
}

func (c Call) before(d Call) bool {
	if c.Caller != d.Caller {
		return c.Caller < d.Caller
	}
	if c.Method != d.Method {
		return c.Method < d.Method
	}
	return c.Kind < d.Kind
}

func isWrite(method string) bool { return method == "put" || method == "delete" }
