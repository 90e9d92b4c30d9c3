package confirm

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// voteTimeout bounds a call of a voter: some round trips between failure domains.
const voteTimeout = 150 * time.Millisecond

// link calls voters, of which this process may be one.
type link struct {
	self  topology.HostID
	local *Voters
	peers peer.Caller
}

// verdict asks a voter to record a position. A voter that doesn't answer counts as
// Unanswered: the round that asked tells the caller if too many don't.
func (l *link) verdict(ctx context.Context, v Voter, args RecordArgs) Verdict {
	args.Boot = v.Boot
	var reply RecordReply
	if v.Host == l.self {
		if l.local.Record(&args, &reply) != nil {
			return Unanswered
		}
		return reply.Verdict
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	if l.peers.Call(ctx, v.Host, recordMethod, &args, &reply) != nil {
		return Unanswered
	}
	return reply.Verdict
}

func (l *link) instruct(ctx context.Context, v Voter, args InstructArgs) (InstructReply, error) {
	args.Boot = v.Boot
	var reply InstructReply
	if v.Host == l.self {
		return reply, l.local.Instruct(&args, &reply)
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	err := l.peers.Call(ctx, v.Host, instructMethod, &args, &reply)
	return reply, err
}

// instructAll sends an instruction to the voters that haven't accepted it yet. It returns
// once enough reports true, or all have answered or failed to. Answers that come later are
// lost.
func (l *link) instructAll(ctx context.Context, p *poll, args InstructArgs, enough func() bool) {
	type answer struct {
		voter Voter
		reply InstructReply
		err   error
	}
	var asked []Voter
	for _, v := range p.electorate.Members() {
		if _, accepted := p.accepted[v]; !accepted && !p.ended[v] {
			asked = append(asked, v)
		}
	}
	answers := make(chan answer, len(asked))
	args.Epoch, args.FromTerm = p.electorate.Epoch, p.electorate.FromTerm
	for _, v := range asked {
		go func() {
			reply, err := l.instruct(ctx, v, args)
			answers <- answer{voter: v, reply: reply, err: err}
		}()
	}
	for range asked {
		if enough() {
			return
		}
		a := <-answers
		switch {
		case a.err != nil: // the voter stays among those that haven't answered, which the log names
		case a.reply.Ended:
			p.ended[a.voter] = true
		case a.reply.Accepted:
			p.accepted[a.voter] = a.reply.Before
		}
	}
}
