package floor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeFleet is a fleet in which host "other" holds every slot.
type fakeFleet struct{ state topology.HostState }

func (f *fakeFleet) Self() topology.Host    { return topology.Host{ID: "self"} }
func (f *fakeFleet) Hosts() []topology.Host { return nil }
func (f *fakeFleet) Host(id topology.HostID) (topology.Host, bool) {
	return topology.Host{ID: id, State: f.state}, true
}
func (f *fakeFleet) Holders(topology.Target) []topology.HostID {
	return []topology.HostID{"other", "other"}
}
func (f *fakeFleet) RecordCall(topology.HostID, bool) {}

// fakeCaller implements peer.Caller and answers in place of the keeper.
type fakeCaller func(ctx context.Context, q AskArgs, a *AskReply) error

func (f fakeCaller) Call(ctx context.Context, _ topology.HostID, _ string, args, reply any) error {
	return f(ctx, args.(AskArgs), reply.(*AskReply))
}

// fakePrimaries reports target 0 as primary at term 1.
type fakePrimaries struct{}

func (fakePrimaries) CurrentPrimary(topology.GroupID) (uint64, topology.TargetID, bool) {
	return 1, targetID(0), true
}

// newTestClient returns a client of a group whose confirmed position is offset 9 at
// term 1. A keeper that answers returns offset 5.
func newTestClient(fleet *fakeFleet, keeper fakeCaller) *Client {
	sim := newSimulation(nil)
	for i := range sim.received {
		sim.received[i] = pos(9)
	}
	return NewClient(ClientConfig{Self: "self", Caller: keeper, Fleet: fleet, Groups: sim, Primaries: fakePrimaries{}, QuorumReader: sim.hosts[0]})
}

func TestClientFallsBackToConfirmedPosition(t *testing.T) {
	answers := func(_ context.Context, q AskArgs, a *AskReply) error {
		for range q.Sessions {
			a.Floors = append(a.Floors, pos(5))
		}
		return nil
	}
	refuses := func(context.Context, AskArgs, *AskReply) error { return result.New(result.NotHolder, "lock lost") }
	silent := func(ctx context.Context, _ AskArgs, _ *AskReply) error {
		<-ctx.Done()
		return result.New(result.HolderLost, "silent")
	}
	for _, c := range []struct {
		name   string
		state  topology.HostState
		keeper fakeCaller
		want   topology.Position
	}{
		{"answers", topology.HostLive, answers, pos(5)},
		{"refuses", topology.HostLive, refuses, pos(9)},
		{"silent", topology.HostLive, silent, pos(9)},
		{"gone", topology.HostGone, answers, pos(9)},
	} {
		began := time.Now()
		got, err := newTestClient(&fakeFleet{state: c.state}, c.keeper).Session(context.Background(), "g", "s")
		qt.Check(t, err, qt.IsNil, qt.Commentf(c.name))
		qt.Check(t, got, qt.Equals, c.want, qt.Commentf(c.name))
		qt.Check(t, time.Since(began) < verifyTimeout/2, qt.IsTrue, qt.Commentf(c.name))
	}
}
