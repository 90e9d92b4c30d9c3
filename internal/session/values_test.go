package session

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func drawPosition(t *rapid.T) topology.Position {
	return topology.Position{Term: rapid.Uint64().Draw(t, "term"), Offset: rapid.Uint64().Draw(t, "offset")}
}

func drawScope(t *rapid.T) scope {
	return scope{
		customer: topology.CustomerID(rapid.String().Draw(t, "customer")),
		group:    topology.GroupID(rapid.String().Draw(t, "group")),
	}
}

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key, sc, position := []byte("key"), drawScope(t), drawPosition(t)
		token := signToken(key, sc, position)
		if got, err := verifyToken(key, sc, token); err != nil || got != position {
			t.Fatalf("position %v was read back as %v, error %v", position, got, err)
		}
		if other := drawScope(t); other != sc {
			if _, err := verifyToken(key, other, token); err == nil {
				t.Fatalf("token for %v was accepted for %v", sc, other)
			}
		}
		if _, err := verifyToken([]byte("other key"), sc, token); err == nil {
			t.Fatalf("token signed with another key was accepted")
		}
		i := rapid.IntRange(0, len(token)-1).Draw(t, "changed byte")
		changed := token[:i] + string(token[i]^1) + token[i+1:]
		if _, err := verifyToken(key, sc, changed); err == nil {
			t.Fatalf("modified token was accepted")
		}
	})
}

func FuzzToken(f *testing.F) {
	sc := scope{customer: "c", group: "g"}
	f.Add("")
	f.Add("AQ")
	f.Add(signToken([]byte("other"), sc, topology.Position{Term: 1, Offset: 2}))
	f.Fuzz(func(t *testing.T, token string) {
		if _, err := verifyToken([]byte("key"), sc, token); result.As(err, result.OK) == nil || result.As(err, result.OK).Code != result.BadToken {
			t.Fatalf("%q: %v", token, err)
		}
	})
}

func TestFloorNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := floor{readOnly: rapid.Bool().Draw(t, "read-only")}
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			before, position := fl.source(), drawPosition(t)
			isWrite := rapid.Bool().Draw(t, "write")
			if isWrite {
				fl.raise(position)
			} else {
				fl.raiseForRead(position)
			}
			after := fl.source()
			if before.Known && !after.Known || !after.Position.AtLeast(before.Position) {
				t.Fatalf("floor decreased from %+v to %+v", before, after)
			}
			if isWrite && !after.Position.AtLeast(position) {
				t.Fatalf("floor %v is below the write %v", after.Position, position)
			}
			if !isWrite && fl.readOnly && after != before {
				t.Fatalf("a read raised a read-only user's floor")
			}
		}
	})
}

func TestSettings(t *testing.T) {
	for _, c := range []struct {
		name, value, shown string
		code               result.Code
	}{
		{settingMaxStaleness, "1500", "1.5s", 0},
		{settingMaxStaleness, "2m", "2m0s", 0},
		{settingMaxStaleness, "-1", "", result.BadSetting},
		{settingMaxStaleness, "soon", "", result.BadSetting},
		{settingDeadline, "250ms", "250ms", 0},
		{settingDeadline, "25h", "", result.BadSetting},
		{settingStatementTimeout, "100", "100ms", 0},
		{settingSession, "tab 1", "tab 1", 0},
		{settingSession, strings.Repeat("x", maxSessionNameBytes+1), "", result.BadSetting},
		{settingSession, "a\nb", "", result.BadSetting},
		{settingIdempotent, "on", "on", 0},
		{settingIdempotent, "maybe", "", result.BadSetting},
		{settingDefaultTxReadOnly, "TRUE", "on", 0},
		{"client_encoding", "'utf-8'", "'utf-8'", 0},
		{"client_encoding", "latin1", "", result.UnsupportedFeature},
		{"timezone", "Australia/Brisbane", "", result.UnsupportedFeature},
		{"search_path", "x", "", result.UnsupportedFeature},
		{"nettlewalk.request_id", "x", "", result.BadSetting},
	} {
		var s settings
		err := s.set(c.name, c.value)
		if c.code != 0 {
			qt.Check(t, result.As(err, result.OK).Code, qt.Equals, c.code, qt.Commentf("%s = %s", c.name, c.value))
			continue
		}
		qt.Assert(t, err, qt.IsNil)
		shown, err := s.show(c.name)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, shown, qt.Equals, c.shown)
		qt.Check(t, s.reset(c.name), qt.IsNil)
	}
}

func TestParseStartup(t *testing.T) {
	got, err := parseStartup(map[string]string{
		"user": "crew", "database": "qpca.book.ings", "Application_Name": "x", "_pq_.more": "1",
		"options": `-c nettlewalk.session=tab\ 1 --nettlewalk.max-staleness=5s -cextra_float_digits=2`,
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.user, qt.Equals, "crew")
	qt.Assert(t, got.customer, qt.Equals, topology.CustomerID("qpca"))
	qt.Assert(t, got.database, qt.Equals, "book.ings")
	qt.Assert(t, got.unrecognizedOptions, qt.DeepEquals, []string{"_pq_.more"})
	want := []parameter{{"application_name", "x"}, {settingSession, "tab 1"}, {settingMaxStaleness, "5s"}, {"extra_float_digits", "2"}}
	qt.Assert(t, got.settings, qt.HasLen, len(want))
	for i := range want {
		qt.Check(t, got.settings[i], qt.Equals, want[i])
	}
	for _, bad := range []map[string]string{
		{"database": "qpca.x"},
		{"user": "u", "database": "qpca"},
		{"user": "u", "database": "qpca.x", "options": "-x"},
		{"user": "u", "database": "qpca.x", "options": "-c"},
		{"user": "u", "database": "qpca.x", "options": "-c =1"},
		{"user": "u", "database": "qpca.x", "replication": "database"},
	} {
		_, err := parseStartup(bad)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%v", bad))
	}
}

func FuzzStartupOptions(f *testing.F) {
	for _, s := range []string{"", "-c a=b", `\`, `-c a=\`, "--=", "-c", "-", " \t-cA=b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, options string) {
		params, err := parseStartup(map[string]string{"user": "u", "database": "c.d", "options": options})
		if err != nil {
			return
		}
		var applied settings
		for _, a := range params.settings {
			_ = applied.set(a.name, a.value)
		}
		if applied.deadline > maxBatchDeadline || (applied.maxStaleness != nil && *applied.maxStaleness < 0*time.Second) {
			t.Fatalf("%q gave %+v", options, applied)
		}
	})
}

func TestVerifier(t *testing.T) {
	for _, bad := range []string{"", "md5abc", "SCRAM-SHA-256$x:c2FsdA==$YQ==:YQ==", "SCRAM-SHA-256$0:c2FsdA==$YQ==:YQ==",
		"SCRAM-SHA-256$1$2", "SCRAM-SHA-256$4096:!$YQ==:YQ==", "SCRAM-SHA-256$4096:c2FsdA==$YQ=="} {
		_, err := parseVerifier(bad)
		qt.Check(t, err, qt.ErrorIs, errMalformedVerifier, qt.Commentf("%q", bad))
	}
}
