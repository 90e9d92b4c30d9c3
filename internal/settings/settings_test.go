package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExampleIsValid(t *testing.T) {
	s, err := Parse([]byte(Example))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(s.Host.ID), qt.Equals, "bne-north-1")
	qt.Assert(t, s.Host.PeerAdvertise, qt.Equals, "127.0.0.1:6433")
	qt.Assert(t, s.Operators, qt.HasLen, 2)
	qt.Assert(t, s.Operators[1].Customers, qt.HasLen, 1)
}

func TestParseReportsEachInvalidLine(t *testing.T) {
	tests := []struct{ from, to, section, key string }{
		{"id = bne-north-1", "id = a b", "host", "id"},
		{"domain = bne-north", "", "host", "domain"},
		{"127.0.0.1:6432", "localhost:6432", "host", "caller_listen"},
		{"drain_timeout = 30s", "drain_timeout = 30", "host", "drain_timeout"},
		{"address = 127.0.0.1:7000", "address = 127.0.0.1", "platform", "address"},
		{"calls_per_second = 5", "calls_per_second = NaN", "platform", "calls_per_second"},
		{"replace-this-shared-key", "short", "peers", "key"},
		{"seeds = 127.0.0.1:6443", "seeds = x", "peers", "seeds"},
		{"user = nettlewalk", "usr = nettlewalk", "targets", "usr"},
		{"deadline = 10s", "deadline = 10s\ndeadline = 20s", "callers", "deadline"},
		{"replace-this-operator-token", "short", "operators", "root"},
		{"; 10.0.0.5:5432", "10.0.0.5", "addresses", "10.0.0.5"},
		{"level = 0", "level = 3", "log", "level"},
		{"[log]", "[logs]", "logs", ""},
	}
	for _, test := range tests {
		_, err := Parse([]byte(strings.Replace(Example, test.from, test.to, 1)))
		var faults *Faults
		qt.Assert(t, errors.As(err, &faults), qt.IsTrue, qt.Commentf("%s: %v", test.to, err))
		qt.Check(t, faults.List, qt.HasLen, 1, qt.Commentf("%s", test.to))
		qt.Check(t, faults.List[0].Section, qt.Equals, test.section)
		qt.Check(t, faults.List[0].Key, qt.Equals, test.key)
	}
}

func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(page), qt.Equals, Markdown())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Example))
	f.Add([]byte("[host\nid"))
	f.Add([]byte("[operators]\nx = \n[addresses]\n1 = 2"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := Parse(content)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
