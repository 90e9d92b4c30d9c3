package line

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	control "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/standin/target"
)

// servePromotion handles a promotion call: it rejects a fencing token lower than
// the highest one seen, and otherwise promotes the target after promotionDelay.
func (b *Bed) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isFencedLocked(token) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	b.tokens = append(b.tokens, token)
	b.highestToken = max(b.highestToken, token)
	if b.lateOrders > 0 {
		b.lateOrders--
		time.AfterFunc(b.lateBy, func() {
			if !b.isFenced(token) {
				b.promote(topology.TargetID(body.Id))
			}
		})
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close() // the caller gets no answer
		}
		return
	}
	b.promotions = append(b.promotions, body.Id)
	time.AfterFunc(b.promotionDelay, func() { b.promote(topology.TargetID(body.Id)) })
}

// isFenced reports whether a call with the token is refused now.
func (b *Bed) isFenced(token uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isFencedLocked(token)
}

// isFencedLocked is like isFenced. The caller must hold b.mu.
func (b *Bed) isFencedLocked(token uint64) bool { return token < b.highestToken && !b.opts.Unfenced }

func (b *Bed) promote(id topology.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	var newPrimary *target.Server
	var others []*target.Server
	for _, m := range b.Members {
		switch {
		case m.ID == id:
			newPrimary = m.Server
		case m.crashed, b.opts.Unfenced && m.Server.Status().Role == control.Primary: // leads on
		default:
			others = append(others, m.Server)
		}
	}
	if newPrimary.Status().Role == control.Primary {
		return // the present primary
	}
	if err := target.Promote(context.Background(), newPrimary, others); err != nil {
		b.tb.Logf("promote %s: %v", id, err)
	}
	// Resume only after the promotion: a replica must not receive from the old
	// primary again.
	for _, m := range b.Members {
		m.Line.Resume()
	}
}

// demote makes a replaced primary follow the present one.
func (b *Bed) demote(m *Member) {
	go func() { // the caller holds a lock of the target's session
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, other := range b.Members {
			if other != m && !other.crashed && other.Server.Status().Role == control.Primary {
				if err := target.Follow(m.Server, other.Server); err != nil {
					b.tb.Logf("demote %s: %v", m.ID, err)
				}
			}
		}
	}()
}

// LoseAnswers leaves the next n promotion calls without an answer and carries them out
// after the delay.
func (b *Bed) LoseAnswers(n int, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lateOrders, b.lateBy = n, after
}

// Tokens returns the fencing tokens of all promotion calls, in order.
func (b *Bed) Tokens() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]uint64(nil), b.tokens...)
}

// PrimaryReplaced reports whether the first target is no longer the primary.
func (b *Bed) PrimaryReplaced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Members[0].Server.Status().Role != control.Primary
}

// Promotions returns the targets of the accepted promotion calls, in order.
func (b *Bed) Promotions() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.promotions...)
}
