package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// refusingCaller records the refusal of its startup.
type refusingCaller struct {
	scriptedCaller
	startup Startup
	ready   bool
	refused []statement.Code
}

func (c *refusingCaller) ReadStartup() (Startup, error) { return c.startup, nil }
func (c *refusingCaller) Ready() error                  { c.ready = true; return nil }
func (c *refusingCaller) Refuse(code statement.Code, _ string) error {
	c.refused = append(c.refused, code)
	return nil
}

// A caller with an unknown key must not get a session. While the configuration can't be
// confirmed, its key may have been added, so that NOAUTH could be wrong.
func TestUnknownKeyIsRefusedAtStartup(t *testing.T) {
	for _, test := range []struct {
		key    string
		policy keys.Policy
		age    time.Duration
		want   []statement.Code
	}{
		{"k1", keys.Policy{Timeout: time.Second}, 0, nil},
		{"k9", keys.Policy{Timeout: time.Second}, 0, []statement.Code{statement.NoAuth}},
		{"", keys.Policy{Timeout: time.Second}, 0, []statement.Code{statement.NoAuth}},
		{"k9", keys.Policy{Timeout: time.Second}, time.Minute, []statement.Code{statement.Busy}},
		{"k1", keys.Policy{Timeout: time.Second}, time.Minute, nil},
		{"k1", keys.Policy{Strict: true, Timeout: time.Second}, time.Minute, []statement.Code{statement.Busy}},
	} {
		f := newFixture(t, catalog.LatestData)
		f.withCustomers("", acme)
		f.cutOff(test.policy, test.age)
		c := &refusingCaller{startup: Startup{Database: "db", Key: test.key}}
		s := f.server.newSession(c)
		qt.Check(t, s.start(), qt.Equals, test.want == nil, qt.Commentf("%+v", test))
		qt.Check(t, c.refused, qt.DeepEquals, test.want, qt.Commentf("%+v", test))
		qt.Check(t, c.ready, qt.Equals, test.want == nil)
	}
}
