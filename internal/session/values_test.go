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
		key, s, p := []byte("key"), drawScope(t), drawPosition(t)
		token := signToken(key, s, p)
		if got, err := readToken(key, s, token); err != nil || got != p {
			t.Fatalf("%v became %v, %v", p, got, err)
		}
		if other := drawScope(t); other != s {
			if _, err := readToken(key, other, token); err == nil {
				t.Fatalf("token of %v accepted for %v", s, other)
			}
		}
		if _, err := readToken([]byte("other key"), s, token); err == nil {
			t.Fatalf("token of another key accepted")
		}
		i := rapid.IntRange(0, len(token)-1).Draw(t, "changed byte")
		changed := token[:i] + string(token[i]^1) + token[i+1:]
		if _, err := readToken(key, s, changed); err == nil {
			t.Fatalf("changed token accepted")
		}
	})
}

func FuzzToken(f *testing.F) {
	s := scope{customer: "c", group: "g"}
	f.Add("")
	f.Add("AQ")
	f.Add(signToken([]byte("other"), s, topology.Position{Term: 1, Offset: 2}))
	f.Fuzz(func(t *testing.T, token string) {
		if _, err := readToken([]byte("key"), s, token); result.As(err, result.OK) == nil || result.As(err, result.OK).Code != result.BadToken {
			t.Fatalf("%q: %v", token, err)
		}
	})
}

func TestFloorNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := floor{readOnly: rapid.Bool().Draw(t, "read-only")}
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			before, p := f.source(), drawPosition(t)
			wrote := rapid.Bool().Draw(t, "write")
			if wrote {
				f.wrote(p)
			} else {
				f.read(p)
			}
			after := f.source()
			if before.Known && !after.Known || !after.Position.AtLeast(before.Position) {
				t.Fatalf("%+v fell to %+v", before, after)
			}
			if wrote && !after.Position.AtLeast(p) {
				t.Fatalf("floor %v is below the write %v", after.Position, p)
			}
			if !wrote && f.readOnly && after != before {
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
		{setStaleness, "1500", "1.5s", 0},
		{setStaleness, "2m", "2m0s", 0},
		{setStaleness, "-1", "", result.BadSetting},
		{setStaleness, "soon", "", result.BadSetting},
		{setDeadline, "250ms", "250ms", 0},
		{setDeadline, "25h", "", result.BadSetting},
		{setTimeout, "100", "100ms", 0},
		{setSession, "tab 1", "tab 1", 0},
		{setSession, strings.Repeat("x", maxSessionName+1), "", result.BadSetting},
		{setSession, "a\nb", "", result.BadSetting},
		{setIdempotent, "on", "on", 0},
		{setIdempotent, "maybe", "", result.BadSetting},
		{setReadOnly, "TRUE", "on", 0},
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
	qt.Assert(t, got.unknownParts, qt.DeepEquals, []string{"_pq_.more"})
	want := []assignment{{"application_name", "x"}, {setSession, "tab 1"}, {setStaleness, "5s"}, {"extra_float_digits", "2"}}
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
		s, err := parseStartup(map[string]string{"user": "u", "database": "c.d", "options": options})
		if err != nil {
			return
		}
		var kept settings
		for _, a := range s.settings {
			_ = kept.set(a.name, a.value)
		}
		if kept.deadline > maxDeadline || (kept.maxStaleness != nil && *kept.maxStaleness < 0*time.Second) {
			t.Fatalf("%q gave %+v", options, kept)
		}
	})
}

func TestVerifier(t *testing.T) {
	for _, bad := range []string{"", "md5abc", "SCRAM-SHA-256$x:c2FsdA==$YQ==:YQ==", "SCRAM-SHA-256$0:c2FsdA==$YQ==:YQ==",
		"SCRAM-SHA-256$1$2", "SCRAM-SHA-256$4096:!$YQ==:YQ==", "SCRAM-SHA-256$4096:c2FsdA==$YQ=="} {
		_, err := parseVerifier(bad)
		qt.Check(t, err, qt.ErrorIs, errVerifier, qt.Commentf("%q", bad))
	}
}
