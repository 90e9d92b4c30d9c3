package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/testbed"
)

// Exit codes that the command line's help promises.
const (
	exitDone     = 0
	exitBadInput = 2
	exitConflict = 3
	exitNotRun   = 5
)

// commandLine runs the built program against one host.
type commandLine struct {
	program string
	address string
}

// run returns the exit code and what was printed.
func (c *commandLine) run(ctx context.Context, stdin string, args ...string) (code int, stdout, stderr string) {
	cmd := exec.CommandContext(ctx, c.program, args...)
	cmd.Env = append(cmd.Environ(), "NETTLEWALK_TOKEN="+testbed.OperatorToken)
	cmd.Stdin = strings.NewReader(stdin)
	var out, err bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &err
	if failed := cmd.Run(); failed != nil && cmd.ProcessState == nil {
		return -1, "", failed.Error()
	}
	return cmd.ProcessState.ExitCode(), out.String(), err.String()
}

// want runs a command against the host and fails the test on another exit code.
func (c *commandLine) want(t *testing.T, ctx context.Context, code int, args ...string) (stdout, stderr string) {
	t.Helper()
	return c.wantInput(t, ctx, code, "", args...)
}

func (c *commandLine) wantInput(t *testing.T, ctx context.Context, code int, stdin string, args ...string) (stdout, stderr string) {
	t.Helper()
	got, stdout, stderr := c.run(ctx, stdin, append(args, "--address", c.address)...)
	qt.Assert(t, got, qt.Equals, code, qt.Commentf("%v\n%s\n%s", args, stdout, stderr))
	return stdout, stderr
}

// Operators create, change and delete objects from the command line through
// any host; of two edits of one version, the second gets a conflict.
func TestCommandLine(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	programs, err := testbed.Build()
	qt.Assert(t, err, qt.IsNil)
	one := &commandLine{program: programs.Host, address: bed.Hosts[0].AdminAddr()}
	other := &commandLine{program: programs.Host, address: bed.Hosts[1].AdminAddr()}
	group := databaseOf(bed)

	one.want(t, ctx, exitDone, "template", "create", "office", "--field", "parameters.rate=50", "--field", "parameters.max_staleness=5s")
	out, _ := one.wantInput(t, ctx, exitDone, fmt.Sprintf(`{"template":"office","databases":{"jobs":%q}}`, group),
		"customer", "create", "acme", "--value", "-", "--field", "description=plasterers", "--json")
	first := versionIn(t, out)
	out, _ = one.want(t, ctx, exitDone, "customer", "list")
	qt.Check(t, out, qt.Contains, "acme")

	// Two operators edit one version: the second one learns what the first did.
	out, _ = one.want(t, ctx, exitDone, "customer", "set", "acme", "--if-version", first, "--field", "parameters.queue=7", "--json")
	second := versionIn(t, out)
	out, errOut := one.want(t, ctx, exitConflict, "customer", "set", "acme", "--if-version", first, "--field", "parameters.queue=9", "--json")
	var refusal struct {
		Code    int
		Current struct {
			Version uint64
			Value   struct{ Parameters struct{ Queue int } }
		}
	}
	qt.Assert(t, json.Unmarshal([]byte(out), &refusal), qt.IsNil, qt.Commentf("%s", out))
	qt.Check(t, refusal.Code, qt.Equals, 219)
	qt.Check(t, fmt.Sprint(refusal.Current.Version), qt.Equals, second)
	qt.Check(t, refusal.Current.Value.Parameters.Queue, qt.Equals, 7)
	qt.Check(t, errOut, qt.Contains, "current version "+second)

	// The edit is in force at every host within the promised time.
	err = testbed.Until(ctx, "the second version is in force everywhere", func() bool {
		_, out, _ := other.run(ctx, "", "customer", "status", "acme", "--address", other.address)
		return strings.Contains(out, "newest version "+second+", in force on all 3 hosts")
	})
	qt.Assert(t, err, qt.IsNil)

	out, _ = other.want(t, ctx, exitDone, "status")
	qt.Check(t, out, qt.Contains, "ready")
	qt.Check(t, out, qt.Contains, group)
	out, _ = other.want(t, ctx, exitDone, "dump", "pool")
	qt.Check(t, json.Valid([]byte(out)), qt.IsTrue, qt.Commentf("%s", out))

	one.want(t, ctx, exitBadInput, "template", "delete", "office") // acme uses it
	one.want(t, ctx, exitDone, "customer", "delete", "acme")
	one.want(t, ctx, exitDone, "template", "delete", "office")
	one.want(t, ctx, exitBadInput, "customer", "get", "acme")
	testBadArguments(t, ctx, one)
}

// versionIn returns the version in an edit's answer.
func versionIn(t *testing.T, answer string) string {
	t.Helper()
	var edited struct{ Version uint64 }
	qt.Assert(t, json.Unmarshal([]byte(answer), &edited), qt.IsNil, qt.Commentf("%s", answer))
	return fmt.Sprint(edited.Version)
}

func testBadArguments(t *testing.T, ctx context.Context, c *commandLine) {
	t.Helper()
	for _, args := range [][]string{
		{"customer"},
		{"customer", "rename", "acme"},
		{"customer", "get"},
		{"customer", "set", "acme"},
		{"customer", "set", "acme", "--if-version", "one", "--field", "parameters.rate=1"},
		{"customer", "set", "association", "--field", "parameters.rate"},
		{"customer", "set", "association", "--field", "parameters.rate=fast"},
		{"customer", "create", "acme", "--value", "no-such-file"},
		{"template", "get", "association", "surplus"},
		{"dump", "no-such-slice"},
		{"status", "--token", "the token of nobody"},
		{"verifier", "app"},
	} {
		_, stderr := c.want(t, ctx, exitBadInput, args...)
		qt.Check(t, stderr, qt.Not(qt.Equals), "", qt.Commentf("%v", args))
		qt.Check(t, stderr, qt.Not(qt.Contains), "goroutine", qt.Commentf("%v", args))
	}
	nobody := &commandLine{program: c.program, address: "127.0.0.1:1"}
	nobody.want(t, ctx, exitNotRun, "customer", "delete", "acme", "--if-version", "1")
}
