package promotion

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const dialMethod = ServiceName + ".DialTarget"

const (
	// hostsAskedPerDomain is how many hosts of each failure domain are asked: one of
	// them may be down.
	hostsAskedPerDomain = 2
	// endCheckTimeout bounds the wait for the hosts' answers: a connection to the host,
	// its dial of the target (maxDialTime at most) and the way back. It is shorter than
	// endCheckInterval.
	endCheckTimeout = 800 * time.Millisecond
	// maxDialTime is the time after which a dial that goes on has been accepted, since the
	// dialer gives up after probeDialTimeout if it isn't. A dial that failed later was
	// delayed in this host, perhaps by a suspension, and tells nothing.
	maxDialTime = probeDialTimeout + 100*time.Millisecond
)

// AskHosts asks hosts of all failure domains to dial a target and returns their
// answers.
type AskHosts func(ctx context.Context, target topology.Target) *EndEvidence

// DialRequest asks a host to dial a target.
type DialRequest struct{ Target topology.Target }

// DialReply is the answer to a DialRequest.
type DialReply struct{ Result DialResult }

// DialTarget dials a target for another host.
func (s *Service) DialTarget(args *DialRequest, reply *DialReply) error {
	if args.Target.Addr == "" {
		return errors.Newf("target %q has no address", args.Target.ID)
	}
	reply.Result = dialTarget(context.Background(), s.dialer, args.Target)
	return nil
}

// dialTarget opens a new connection to the target and closes it. A target that accepts
// the connection is alive, whether or not it answers.
func dialTarget(ctx context.Context, dialer statement.Dialer, target topology.Target) DialResult {
	startedAt := steady.Now()
	ctx, cancel := context.WithTimeout(ctx, probeDialTimeout)
	done := make(chan DialResult, 1)
	go func() {
		defer cancel()
		conn, err := dialer.Dial(ctx, target, "")
		if err == nil {
			conn.Close()
		}
		done <- dialResult(err, steady.Now().Sub(startedAt))
	}()
	select {
	case r := <-done:
		return r
	case <-time.After(maxDialTime):
		return TargetAlive
	}
}

// dialResult classifies the error of a dial, nil for success, that took some time.
func dialResult(err error, took time.Duration) DialResult {
	var dialErr *statement.DialError
	switch {
	case err == nil:
		return TargetAlive
	case !errors.As(err, &dialErr):
		return NotDialed
	case dialErr.Outcome != statement.DialRefused && dialErr.Outcome != statement.DialTimedOut:
		return TargetAlive
	case took > maxDialTime:
		return NotDialed
	case dialErr.Outcome == statement.DialRefused:
		return TargetRefused
	}
	return TargetSilent
}

// EndQuestion asks hosts of all failure domains whether they reach a target.
type EndQuestion struct {
	Self    topology.HostID
	Domains []topology.Domain      // the deployment's failure domains, also those whose hosts are silent
	Hosts   func() []topology.Host // the live hosts, this host included
	Peers   PeerClient
	Dialer  statement.Dialer
}

// Ask implements AskHosts. It takes endCheckTimeout at most. Hosts that give no answer
// in that time, or don't know the question, have the result NotDialed.
func (q *EndQuestion) Ask(ctx context.Context, target topology.Target) *EndEvidence {
	hosts := q.Hosts()
	e := &EndEvidence{AskedAt: steady.Now(), Domains: slices.Clone(q.Domains)}
	for _, h := range hosts {
		if !slices.Contains(e.Domains, h.Domain) {
			e.Domains = append(e.Domains, h.Domain)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	asked := pickPerDomain(hosts, hostsAskedPerDomain)
	e.Answers = make([]HostAnswer, len(asked))
	var wg sync.WaitGroup
	for i, h := range asked {
		wg.Go(func() {
			r := q.askHost(ctx, h.ID, target)
			e.Answers[i] = HostAnswer{Host: h.ID, Domain: h.Domain, Result: r, After: steady.Now().Sub(e.AskedAt)}
		})
	}
	wg.Wait()
	return e
}

// askHost returns what one host found. This host dials the target itself.
func (q *EndQuestion) askHost(ctx context.Context, id topology.HostID, target topology.Target) DialResult {
	if id == q.Self {
		return dialTarget(ctx, q.Dialer, target)
	}
	var reply DialReply
	if err := q.Peers.Call(ctx, id, dialMethod, &DialRequest{Target: target}, &reply); err != nil {
		return NotDialed // reported in the answers that the watcher logs
	}
	return reply.Result
}

// pickPerDomain returns up to n hosts of each failure domain, drawn at random.
func pickPerDomain(hosts []topology.Host, n int) []topology.Host {
	var picked []topology.Host
	perDomain := map[topology.Domain]int{}
	for _, i := range rand.Perm(len(hosts)) {
		if d := hosts[i].Domain; perDomain[d] < n {
			perDomain[d]++
			picked = append(picked, hosts[i])
		}
	}
	return picked
}
