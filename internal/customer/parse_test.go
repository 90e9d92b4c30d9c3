package customer

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// faultsOf returns the faults in err, nil if there are none.
func faultsOf(err error) Faults {
	var faults Faults
	errors.As(err, &faults)
	return faults
}

// TestParseReportsEveryInvalidField checks that every invalid field has a
// fault with its path and the allowed values, and that no fault contains a
// secret.
func TestParseReportsEveryInvalidField(t *testing.T) {
	tests := []struct {
		name   string
		parse  func(json.RawMessage) error
		value  string
		fields []string
	}{
		{"not an object", parseTemplateError, `[]`, []string{"value"}},
		{"null", parseTemplateError, `null`, []string{"value"}},
		{"empty template", parseTemplateError, `{}`, nil},
		{"unknown fields", parseTemplateError, `{"x":1,"parameters":{"y":2}}`, []string{"parameters.y", "x"}},
		{"invalid parameters", parseTemplateError,
			`{"parameters":{"rate":-1,"queue":1.5,"concurrent":0,"max_staleness":5,"when_cut_off":"maybe","acknowledge":null,"cost_share":"1","read_keywords":1}}`,
			[]string{"parameters.read_keywords", "parameters.max_staleness", "parameters.when_cut_off", "parameters.acknowledge",
				"parameters.concurrent", "parameters.queue", "parameters.rate", "parameters.cost_share"}},
		{"empty customer", parseSpecError, `{}`, []string{"template", "databases"}},
		{"invalid customer", parseSpecError, `{"template":"T","databases":{"A":"g","b":7},"users":[{"name":"u","verifier":"secret"},{"name":"u"},3]}`,
			[]string{"template", "databases", "databases.b", "users[0].verifier", "users[1].name", "users[2]", "users[2].name"}},
	}
	for _, test := range tests {
		err := test.parse(json.RawMessage(test.value))
		var fields []string
		for _, fault := range faultsOf(err) {
			fields = append(fields, fault.Field)
			qt.Check(t, fault.Allowed, qt.Not(qt.Equals), "")
			qt.Check(t, strings.Contains(fault.Value, "secret"), qt.IsFalse)
		}
		qt.Check(t, fields, qt.DeepEquals, test.fields, qt.Commentf("%s: %v", test.name, err))
	}
}

func parseTemplateError(data json.RawMessage) error { _, err := ParseTemplate(data); return err }
func parseSpecError(data json.RawMessage) error     { _, err := ParseSpec(data); return err }

func TestMakeVerifier(t *testing.T) {
	verifier, err := MakeVerifier("u", "pencil", []byte("0123456789abcdef"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ValidVerifier(verifier), qt.IsTrue)
	for _, invalid := range []string{"", "pencil", verifier + "x", strings.Replace(verifier, "4096", "1", 1)} {
		qt.Check(t, ValidVerifier(invalid), qt.IsFalse, qt.Commentf("%s", invalid))
	}
}

// TestCustomerParametersOverrideTemplate checks the precedence of parameters:
// a customer's own value, then the template's, then the default.
func TestCustomerParametersOverrideTemplate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		genOptional := func(label string) *float64 {
			if !rapid.Bool().Draw(t, label+" set") {
				return nil
			}
			v := rapid.Float64Range(0, 100).Draw(t, label)
			return &v
		}
		own, inherited := genOptional("own"), genOptional("template")
		spec := Versioned[*Spec]{Version: 1, Value: &Spec{Parameters: Parameters{Rate: own}}}
		template := Versioned[*Template]{Version: 2, Value: &Template{Parameters: Parameters{Rate: inherited}}}
		got := Resolve("a", template, spec).Limits.Rate
		want := 0.0
		if inherited != nil {
			want = *inherited
		}
		if own != nil {
			want = *own
		}
		if got != want {
			t.Fatalf("rate %v, want %v", got, want)
		}
	})
}

func TestResolveDefaults(t *testing.T) {
	c := Resolve("a", Versioned[*Template]{Value: &Template{}}, Versioned[*Spec]{Value: &Spec{}})
	qt.Check(t, c.MaxStaleness, qt.Equals, 10*time.Second)
	qt.Check(t, c.WhenCutOff, qt.Equals, RefuseStaleReads)
	qt.Check(t, c.Acknowledge, qt.Equals, AckMajority)
	qt.Check(t, c.CostShare, qt.Equals, 1.0)
}

func TestParseGroup(t *testing.T) {
	valid := `{"id":"g","extra":1,"term":3,"primary":"t1","targets":[{"id":"t1","domain":"d","addr":"127.0.0.1:1","connections":16,"slots":2}]}`
	g, err := ParseGroup("g", json.RawMessage(valid))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, g.Targets[0].Group, qt.Equals, topology.GroupID("g"))
	_, err = ParseGroup("g", json.RawMessage(`{"id":"h","primary":"x","targets":[{"id":"","domain":"","addr":"x","connections":0,"slots":0}]}`))
	qt.Check(t, faultsOf(err), qt.HasLen, 7, qt.Commentf("%v", err))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"template":"t","databases":{"a":"g"},"parameters":{"rate":1}}`))
	f.Add([]byte(`{"parameters":{"max_staleness":"1e9h"},"edits":[{}]}`))
	f.Add([]byte(`{"users":[null,{}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseTemplate(data)
		_, _ = ParseSpec(data)
		_, _ = ParseGroup("g", data)
	})
}
