package confirm

import "nettlewalk.example/nettlewalk/internal/topology"

// poll is what the voters of an epoch have answered to an instruction.
type poll struct {
	electorate Electorate
	accepted   map[Voter]State // before the instruction
	ended      map[Voter]bool  // processes that have ended
}

func newPoll(e Electorate) *poll {
	return &poll{electorate: e, accepted: map[Voter]State{}, ended: map[Voter]bool{}}
}

// hasQuorum reports whether a quorum has accepted the instruction.
func (p *poll) hasQuorum() bool { return len(p.accepted) >= p.electorate.Quorum() }

// closed reports whether too few voters are left that haven't accepted the instruction to
// confirm a position.
func (p *poll) closed() bool {
	left := len(p.electorate.Members()) - len(p.accepted) - len(p.ended)
	return left < p.electorate.Quorum()
}

// meetsEveryQuorum reports whether every quorum has a voter that has accepted, so that
// every confirmed position is known.
func (p *poll) meetsEveryQuorum() bool {
	return len(p.accepted) > len(p.electorate.Members())-p.electorate.Quorum()
}

// newest returns the newest position that may have been confirmed, which is certain only
// if meetsEveryQuorum.
func (p *poll) newest() topology.Position {
	newest := p.electorate.Floor
	for _, s := range p.accepted {
		newest = topology.Later(newest, s.Newest)
	}
	return newest
}

// inherited is a request for a promotion that an earlier holder may have sent.
type inherited struct {
	may     bool
	target  topology.TargetID // unless several
	term    uint64            // lower bound of the leader's term before the request
	several bool              // there may be requests for several targets
}

// inherited returns the request that a holder before the one with the token announced.
func (p *poll) inherited(token uint64) (i inherited) {
	for _, s := range p.accepted {
		if s.OrderedBy != 0 && s.OrderedBy < token {
			i = i.merge(inherited{may: true, target: s.Ordered, term: s.SealedTerm, several: s.Several})
		}
	}
	return i
}

// merge adds what another voter or poll has told.
func (i inherited) merge(other inherited) inherited {
	switch {
	case !i.may:
		return other
	case !other.may:
		return i
	}
	return inherited{
		may: true, target: i.target, term: max(i.term, other.term),
		several: i.several || other.several || i.target != other.target,
	}
}

// hadEffect reports whether the request has made its target the leader. One for another target
// than the leader may still be carried out, whichever term the leader leads.
func (i inherited) hadEffect(leader *Proof) bool {
	return !i.several && leader.Target == i.target && leader.Term > i.term
}
