package quota

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// link reports whether messages from a reach b. The caller holds s.mu.
func (s *sim) link(a, b *simHost) bool {
	return a == b || !s.cut[[2]int{a.domain, b.domain}] && !s.isolated[a.index] && !s.isolated[b.index]
}

// cutDomain cuts a domain off from the others, or ends that. The caller holds s.mu.
func (s *sim) cutDomain(domain int, both, off bool) {
	for d := range s.domains {
		if d != domain {
			s.cut[[2]int{domain, d}] = off
			s.cut[[2]int{d, domain}] = off && both
		}
	}
}

var errSimCut = errors.New("cut off")

// Call implements peer.Caller. A request may arrive although its answer is lost.
func (h *simHost) Call(ctx context.Context, id topology.HostID, method string, args, reply any) error {
	s := h.sim
	i, err := strconv.Atoi(string(id[1:]))
	if err != nil {
		return err
	}
	to := s.hosts[i]
	s.mu.Lock()
	s.calls++
	refused := to.dead && !to.silent && s.link(h, to) && s.link(to, h)
	arrives := !to.dead && s.link(h, to)
	s.mu.Unlock()
	h.awaitThaw()
	if refused {
		time.Sleep(2 * simLatency)
		return errSimCut
	}
	done := make(chan func(), 1)
	if arrives {
		go func() {
			time.Sleep(simLatency)
			deliver := to.execute(method, args, reply)
			if deliver == nil {
				return
			}
			time.Sleep(simLatency)
			s.mu.Lock()
			back := s.link(to, h)
			s.mu.Unlock()
			if back {
				done <- deliver
			}
		}()
	}
	select {
	case deliver := <-done:
		h.awaitThaw()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		deliver()
		return nil
	case <-ctx.Done():
		h.awaitThaw()
		return ctx.Err()
	}
}

func (h *simHost) awaitThaw() {
	for {
		h.sim.mu.Lock()
		wait := time.Until(h.thawAt)
		h.sim.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// execute runs a request at the host and returns what stores its answer, or nil if the
// host died.
func (h *simHost) execute(method string, args, reply any) func() {
	h.awaitThaw()
	h.sim.mu.Lock()
	dead, q := h.dead, h.quota
	h.sim.mu.Unlock()
	if dead {
		return nil
	}
	var err error
	var answer BuyReply
	var stopped StopReply
	switch a := args.(type) {
	case *StopArgs:
		err = q.Service().Stop(a, &stopped)
	case *CedeArgs:
		err = q.Service().Cede(a, &Confirmation{})
	case *PingArgs:
		err = q.Service().Ping(a, &Confirmation{})
	case *BuyArgs:
		copied := *a
		err = q.Service().Buy(&copied, &answer)
	}
	if err != nil {
		panic(method + ": " + err.Error())
	}
	return func() {
		switch r := reply.(type) {
		case *BuyReply:
			*r = answer
		case *StopReply:
			*r = stopped
		}
	}
}
