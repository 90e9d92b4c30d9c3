package duty

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// recordTwo lets a keeper acquire the duty of "g" and record two members.
func recordTwo(t *testing.T, s *fakeStore) (*Keeper, []Member) {
	t.Helper()
	k := newKeeper(s, &fakeHosts{connected: true})
	qt.Assert(t, k.writeClaim(context.Background(), Claim{Group: "g"}), qt.IsNil)
	members := []Member{{ID: "a", Addr: "10.0.0.1:1", Incarnation: 3}, {ID: "b", Addr: "10.0.0.2:1", Leads: true}}
	qt.Assert(t, k.RecordMembers(context.Background(), "g", members), qt.IsNil)
	return k, members
}

// successor returns a keeper of another process that has acquired the duty.
func successor(t *testing.T, s *fakeStore) *Keeper {
	t.Helper()
	next := newKeeper(s, &fakeHosts{silentFor: time.Minute, connected: true})
	next.opts.Boot = 2
	next.loadClaims(context.Background())
	next.mu.Lock()
	known := next.claims["g"]
	next.mu.Unlock()
	qt.Assert(t, next.writeClaim(context.Background(), known), qt.IsNil)
	return next
}

// A new holder would otherwise know only the targets that are registered at that moment.
func TestMembersReachLaterHolders(t *testing.T) {
	s := &fakeStore{}
	k, members := recordTwo(t, s)
	qt.Check(t, successor(t, s).Members("g"), qt.DeepEquals, members)
	k.Release(context.Background()) // of a holder that has been replaced
	qt.Check(t, successor(t, s).Members("g"), qt.DeepEquals, members)
}

func TestMembersSurviveReleaseRenewalAndRecords(t *testing.T) {
	s := &fakeStore{}
	k, members := recordTwo(t, s)
	qt.Assert(t, k.Renew(context.Background(), "g"), qt.IsNil)
	qt.Assert(t, k.Record(context.Background(), "g", Leadership{Leader: "b", Term: 2}), qt.IsNil)
	qt.Check(t, k.Members("g"), qt.DeepEquals, members)
	k.Release(context.Background())
	qt.Check(t, successor(t, s).Members("g"), qt.DeepEquals, members)
}

// A claim whose write got no answer is found in the store later.
func TestMembersAreKnownAfterALostAnswer(t *testing.T) {
	s := &fakeStore{}
	_, members := recordTwo(t, s)
	s.loseAnswer = true
	qt.Check(t, successor(t, s).Members("g"), qt.DeepEquals, members)
}

// A store that came back from an older copy gets the members of this host's memory.
func TestMembersAreWrittenAgainAfterARestore(t *testing.T) {
	s := &fakeStore{}
	k, members := recordTwo(t, s)
	s.object, s.era = nil, 1
	k.SetGroups(nil)
	k.mu.Lock()
	known := k.claims["g"]
	k.mu.Unlock()
	k.rewrite(context.Background(), known)
	qt.Check(t, successor(t, s).Members("g"), qt.DeepEquals, members)
}

// A store that came back from an older copy may have an earlier claim of this process.
func TestOlderOwnClaimDoesNotReplaceMembers(t *testing.T) {
	s := &fakeStore{}
	k, members := recordTwo(t, s)
	older := *s.object
	qt.Assert(t, k.Renew(context.Background(), "g"), qt.IsNil)
	members = append(slices.Clone(members), Member{ID: "c", Addr: "10.0.0.3:1"})
	s.object, s.era = &older, 1
	qt.Check(t, k.RecordMembers(context.Background(), "g", members), qt.Equals, ErrHeldByOther)
	qt.Check(t, k.Members("g"), qt.DeepEquals, members)
}

// Members that only this host knows aren't stored, nor are covered ones, which don't count.
func TestOnlyMembersInTheStoreAreStored(t *testing.T) {
	s := &fakeStore{}
	k, members := recordTwo(t, s)
	ids := func(list ...topology.TargetID) []topology.TargetID { return list }
	qt.Check(t, k.MembersStored("g", ids("a", "b")), qt.IsTrue)
	qt.Check(t, k.MembersStored("g", ids("a", "c")), qt.IsFalse)
	s.loseAnswer = true
	members = append(slices.Clone(members), Member{ID: "c", Addr: "10.0.0.3:1"})
	qt.Check(t, k.RecordMembers(context.Background(), "g", members), qt.IsNotNil)
	qt.Check(t, k.Members("g"), qt.DeepEquals, members)
	qt.Check(t, k.MembersStored("g", ids("c")), qt.IsFalse)
	s.loseAnswer = false
	members[2].Covered = true
	qt.Assert(t, k.RecordMembers(context.Background(), "g", members), qt.IsNil)
	qt.Check(t, k.MembersStored("g", ids("a", "b")), qt.IsTrue)
	qt.Check(t, k.MembersStored("g", ids("c")), qt.IsFalse)
}
