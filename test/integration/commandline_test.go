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

// Exit codes documented in the help of the command line.
const (
	exitDone     = 0
	exitBadInput = 2
	exitConflict = 3
	exitNotRun   = 5
)

// commandLine runs the built program's operator commands against one host.
type commandLine struct {
	program string
	address string
}

// run runs the program and returns its exit code and output, or code -1 if the
// program did not start.
func (c *commandLine) run(ctx context.Context, stdin string, args ...string) (code int, stdout, stderr string) {
	cmd := exec.CommandContext(ctx, c.program, args...)
	cmd.Env = append(cmd.Environ(), "NETTLEWALK_TOKEN="+testbed.OperatorToken)
	cmd.Stdin = strings.NewReader(stdin)
	var out, err bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &err
	if runErr := cmd.Run(); runErr != nil && cmd.ProcessState == nil {
		return -1, "", runErr.Error()
	}
	return cmd.ProcessState.ExitCode(), out.String(), err.String()
}

// mustExit runs a command against the host and fails the test unless the command
// exits with the given code.
func (c *commandLine) mustExit(t *testing.T, ctx context.Context, code int, args ...string) (stdout, stderr string) {
	t.Helper()
	return c.mustExitWithInput(t, ctx, code, "", args...)
}

// mustExitWithInput is mustExit with content for standard input.
func (c *commandLine) mustExitWithInput(t *testing.T, ctx context.Context, code int, stdin string, args ...string) (stdout, stderr string) {
	t.Helper()
	got, stdout, stderr := c.run(ctx, stdin, append(args, "--address", c.address)...)
	qt.Assert(t, got, qt.Equals, code, qt.Commentf("%v\n%s\n%s", args, stdout, stderr))
	return stdout, stderr
}

// Operators create, change and delete objects from the command line through any
// host. Of two edits that are based on the same version, the second one fails
// with a version conflict.
func TestCommandLine(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	programs, err := testbed.Build()
	qt.Assert(t, err, qt.IsNil)
	cli := &commandLine{program: programs.Host, address: bed.Hosts[0].AdminAddr()}
	otherCLI := &commandLine{program: programs.Host, address: bed.Hosts[1].AdminAddr()}
	group := databaseOf(bed)

	cli.mustExit(t, ctx, exitDone, "template", "create", "office", "--field", "parameters.rate=50", "--field", "parameters.max_staleness=5s")
	out, _ := cli.mustExitWithInput(t, ctx, exitDone, fmt.Sprintf(`{"template":"office","databases":{"jobs":%q}}`, group),
		"customer", "create", "acme", "--value", "-", "--field", "description=plasterers", "--json")
	firstVersion := versionIn(t, out)
	out, _ = cli.mustExit(t, ctx, exitDone, "customer", "list")
	qt.Check(t, out, qt.Contains, "acme")

	// Two operators edit the same version: the second one gets a conflict that
	// contains the first one's result.
	out, _ = cli.mustExit(t, ctx, exitDone, "customer", "set", "acme", "--if-version", firstVersion, "--field", "parameters.queue=7", "--json")
	secondVersion := versionIn(t, out)
	out, errOut := cli.mustExit(t, ctx, exitConflict, "customer", "set", "acme", "--if-version", firstVersion, "--field", "parameters.queue=9", "--json")
	var refusal struct {
		Code    int
		Current struct {
			Version uint64
			Value   struct{ Parameters struct{ Queue int } }
		}
	}
	qt.Assert(t, json.Unmarshal([]byte(out), &refusal), qt.IsNil, qt.Commentf("%s", out))
	qt.Check(t, refusal.Code, qt.Equals, 219)
	qt.Check(t, fmt.Sprint(refusal.Current.Version), qt.Equals, secondVersion)
	qt.Check(t, refusal.Current.Value.Parameters.Queue, qt.Equals, 7)
	qt.Check(t, errOut, qt.Contains, "current version "+secondVersion)

	// The edit takes effect on every host.
	err = testbed.Until(ctx, "the second version is in effect on all hosts", func() bool {
		_, out, _ := otherCLI.run(ctx, "", "customer", "status", "acme", "--address", otherCLI.address)
		return strings.Contains(out, "newest version "+secondVersion+", in force on all 3 hosts")
	})
	qt.Assert(t, err, qt.IsNil)

	out, _ = otherCLI.mustExit(t, ctx, exitDone, "status")
	qt.Check(t, out, qt.Contains, "ready")
	qt.Check(t, out, qt.Contains, group)
	out, _ = otherCLI.mustExit(t, ctx, exitDone, "dump", "pool")
	qt.Check(t, json.Valid([]byte(out)), qt.IsTrue, qt.Commentf("%s", out))

	cli.mustExit(t, ctx, exitBadInput, "template", "delete", "office") // the customer acme uses this template
	cli.mustExit(t, ctx, exitDone, "customer", "delete", "acme")
	cli.mustExit(t, ctx, exitDone, "template", "delete", "office")
	cli.mustExit(t, ctx, exitBadInput, "customer", "get", "acme")
	testBadArguments(t, ctx, cli)
}

// versionIn returns the version from the JSON output of an edit.
func versionIn(t *testing.T, answer string) string {
	t.Helper()
	var edited struct{ Version uint64 }
	qt.Assert(t, json.Unmarshal([]byte(answer), &edited), qt.IsNil, qt.Commentf("%s", answer))
	return fmt.Sprint(edited.Version)
}

// testBadArguments checks that invalid arguments exit with exitBadInput and print
// a message instead of a stack trace.
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
		_, stderr := c.mustExit(t, ctx, exitBadInput, args...)
		qt.Check(t, stderr, qt.Not(qt.Equals), "", qt.Commentf("%v", args))
		qt.Check(t, stderr, qt.Not(qt.Contains), "goroutine", qt.Commentf("%v", args))
	}
	unreachable := &commandLine{program: c.program, address: "127.0.0.1:1"}
	unreachable.mustExit(t, ctx, exitNotRun, "customer", "delete", "acme", "--if-version", "1")
}
