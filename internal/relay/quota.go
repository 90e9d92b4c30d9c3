package relay

import (
	"nettlewalk.example/nettlewalk/internal/quota"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// admit admits the request as an operation of its customer, or returns the refusal. An
// operation of another host's session was admitted there.
func (r *request) admit() (*quota.Admission, *statement.Answer) {
	s := r.session
	if s.server.opts.Quota == nil || s.customer == "" || s.forPeer {
		return nil, nil
	}
	admission, retryAfter, ok := s.server.opts.Quota.Admit(s.customer, r.deadline)
	if ok {
		return admission, nil
	}
	a := s.refusal(statement.Busy, "rate limit reached; "+retryHint(retryAfter))
	s.server.countStatement(r, &a)
	return nil, &a
}

// admitTransaction admits the open transaction with its first statement.
func (r *request) admitTransaction() *statement.Answer {
	t := r.session.tx
	if t.admitted || t.running() {
		return nil
	}
	admission, refusal := r.admit()
	t.admitted, t.admission = refusal == nil, admission
	return refusal
}

// creditIfNotRun returns the token of an operation that certainly didn't run.
func (r *request) creditIfNotRun(admission *quota.Admission) {
	if !r.mayHaveRun {
		admission.Credit()
	}
}
