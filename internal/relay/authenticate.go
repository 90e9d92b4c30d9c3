package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	unconfirmedDetail  = "the configuration can't be confirmed"
	unconfirmedReason  = "unconfirmed"
	notForwardedDetail = "the forwarding host sent no key"
)

// credentials are what a caller gave at its startup. They don't change, so that other
// goroutines than the session's may read them.
type credentials struct{ database, key string }

// keyRefusal is a refusal because of a key.
type keyRefusal struct {
	code   statement.Code
	detail string
	reason string // of a bounded set, for the log and the metrics
}

// judgeKey returns the refusal of a request with the verdict on its key, or nil.
func (s *Server) judgeKey(v keys.Verdict) *keyRefusal {
	if v == keys.NotNeeded {
		return nil
	}
	trust, _ := s.trust.assess(s)
	switch keys.Decide(v, trust) {
	case keys.Permit:
		return nil
	case keys.Unconfirmed:
		return &keyRefusal{code: statement.Busy, detail: unconfirmedDetail, reason: unconfirmedReason}
	}
	if v == keys.Moved {
		// The key is known, so that NOAUTH would be wrong; nothing of the transaction is kept.
		return &keyRefusal{code: statement.Aborted, detail: "the key belongs to another customer now", reason: v.String()}
	}
	return &keyRefusal{code: statement.NoAuth, detail: "no customer has this key", reason: v.String()}
}

// authenticate checks the session's key against the configuration in force. Without a
// refusal, s.customer is the customer for whom the request runs.
//
// A transaction that runs keeps the customer for whom it began, because its connection
// to the target belongs to that customer. Until it runs, any customer may hold the key.
func (s *session) authenticate() *keyRefusal {
	c := s.server.opts.Catalog.Configuration()
	public := s.routeIsPublic(c)
	if _, verdict := keys.Check(c, public, s.key); verdict == keys.NotNeeded {
		if s.tx == nil || !s.tx.running() {
			s.customer = ""
		}
		return nil
	}
	s.server.awaitNews()
	c = s.server.opts.Catalog.Configuration()
	public = s.routeIsPublic(c)
	if s.tx != nil && s.tx.running() {
		return s.server.judgeKey(keys.CheckBound(c, public, s.key, s.customer))
	}
	customer, verdict := keys.Check(c, public, s.key)
	if verdict == keys.Unknown && s.key == "" && s.isForwarded() {
		// Hosts of the previous version send no key. Their caller may have a valid one, so
		// that NOAUTH could be wrong; the sender asks another host.
		return &keyRefusal{code: statement.Busy, detail: notForwardedDetail, reason: "not_forwarded"}
	}
	if refusal := s.server.judgeKey(verdict); refusal != nil {
		return refusal
	}
	s.customer = customer
	return nil
}

// isForwarded reports whether the session serves another host's caller.
func (s *session) isForwarded() bool { return s.caller == nil }

// routeIsPublic reports whether the session's route needs no key. A transaction whose
// route was removed goes on under that route. Without any route no statement runs, and
// the caller is told so instead of being asked for a key.
func (s *session) routeIsPublic(c *catalog.Configuration) bool {
	if c == nil {
		return true
	}
	if route, ok := c.Routes[s.database]; ok {
		return route.Public
	}
	return s.tx == nil || s.tx.route == nil || s.tx.route.Public
}

// checkKey returns the answer to a statement that may not run because of the session's
// key. Statements that the host answers itself are checked as well: their success would
// promise a session that can't run anything. Only a rollback is always served, since it
// runs nothing and returns the caller to a known state.
func (s *session) checkKey(st *statement.Statement) (statement.Answer, bool) {
	if st.Kind == statement.Rollback {
		return statement.Answer{}, false
	}
	refusal := s.authenticate()
	if refusal == nil {
		return statement.Answer{}, false
	}
	s.logKeyRefusal(refusal, "statement", st.ID)
	return s.refuseForKey(st, refusal), true
}

// refuseForKey returns the answer for a refusal and rolls back the open transaction. The
// transaction then counts as failed: if the answer said that none is open, the rest of
// the caller's transaction would run as single statements once the key is valid again. A
// refused commit ends the transaction, like any other commit that fails.
func (s *session) refuseForKey(st *statement.Statement, refusal *keyRefusal) statement.Answer {
	switch {
	case s.tx != nil && st.Kind == statement.Commit:
		s.endTransaction()
	case s.tx != nil:
		s.rollbackOnPeer()
		return s.failWith(s.refusal(refusal.code, s.keyRefusalDetail(refusal)), true)
	}
	return s.refusal(refusal.code, s.keyRefusalDetail(refusal))
}

// refuseStartup refuses a session whose caller has no valid key, and reports whether it
// did.
func (s *session) refuseStartup() bool {
	s.credentials.Store(&credentials{database: s.database, key: s.key})
	refusal := s.authenticate()
	if refusal == nil {
		return false
	}
	s.logKeyRefusal(refusal, "startup", "")
	_ = s.caller.Refuse(refusal.code, s.keyRefusalDetail(refusal)) // a failure means that the caller has left
	return true
}

// keyRefusals counts refusals because of a key, by reason.
var keyRefusals = map[string]*metrics.Counter{
	keys.Unknown.String(): metrics.NewCounter(`nettlewalk_key_refusals_total{reason="unknown"}`),
	keys.Moved.String():   metrics.NewCounter(`nettlewalk_key_refusals_total{reason="moved"}`),
	unconfirmedReason:     metrics.NewCounter(`nettlewalk_key_refusals_total{reason="unconfirmed"}`),
	"not_forwarded":       metrics.NewCounter(`nettlewalk_key_refusals_total{reason="not_forwarded"}`),
}

// logKeyRefusal counts a refusal and writes a sampled log line. It contains a hash of the
// key, never the key.
func (s *session) logKeyRefusal(refusal *keyRefusal, at, requestID string) {
	keyRefusals[refusal.reason].Inc()
	if !s.server.keySampler.allow([]string{at + " " + refusal.reason}) {
		return
	}
	fields := []any{
		"at", at, "reason", refusal.reason, "request", requestID, "session", s.state.id, "database", s.database,
		"customer", s.customer, "key_hash", keys.Hash(s.key), "forwarded", s.isForwarded(), "code", refusal.code.String(),
		"result", int(refusal.code.Result()), "configuration", s.server.configurationVersion(),
		"confirmed_ms_ago", s.server.confirmationAge().Milliseconds(), "detail", refusal.detail,
	}
	if s.tx != nil {
		fields = append(fields, "begun_by", s.tx.beginID, "first_statement", s.tx.firstStatementID)
	}
	s.log.Info("key refused", fields...)
}

// confirmationAge returns the time since the configuration was last confirmed to be the
// newest.
func (s *Server) confirmationAge() time.Duration {
	if s.opts.ConfirmedAt == nil {
		return 0
	}
	return steady.Now().Sub(s.opts.ConfirmedAt())
}

// customerOf returns the customer that holds the key in a configuration, "" for none.
func customerOf(c *catalog.Configuration, key string) topology.CustomerID {
	if c == nil {
		return ""
	}
	return c.KeyOwners[key]
}
