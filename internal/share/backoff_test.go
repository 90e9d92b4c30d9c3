package share

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A target at its limit must not be dialled more often than needed: by a host without a
// connection often enough to find soon that there is room, by one that has a connection
// only about as often as connections of lost hosts end. On a day with 139 hosts a target
// refused 13,044 connections.
func TestPoolDialsFullTargetRarely(t *testing.T) {
	const minute = time.Minute
	for _, test := range []struct{ limit, maxRefused int }{{0, 95}, {1, 26}} {
		synctest.Test(t, func(t *testing.T) {
			d := &fakeDialer{limit: test.limit}
			refused := 0
			p := NewPool(Options{Dialer: d, Size: 2, OnDial: func(_ topology.TargetID, err error) {
				var dialErr *statement.DialError
				if errors.As(err, &dialErr) {
					refused++
				}
			}})
			time.Sleep(minute)
			synctest.Wait()
			qt.Check(t, refused <= test.maxRefused, qt.IsTrue, qt.Commentf("%d dials refused with %d connections open", refused, test.limit))
			d.mu.Lock()
			d.limit = 2
			d.mu.Unlock()
			time.Sleep(maxSurplusBackoff * 5 / 4)
			synctest.Wait()
			qt.Check(t, p.Load().Open, qt.Equals, 2)
			p.Close()
			synctest.Wait()
		})
	}
}
