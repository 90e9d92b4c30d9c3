package testbed

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is a program started by the testbed. Its output is appended to a log file.
type Process struct {
	path    string
	args    []string
	logPath string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed when cmd has exited
	exitErr error         // set before exited is closed
}

func startProcess(path, logPath string, args ...string) (*Process, error) {
	p := &Process{path: path, args: args, logPath: logPath}
	return p, p.Start()
}

// Start starts the program, also again after it has exited.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open process log")
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.path)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitErr = cmd, exited, nil
	go func() {
		p.exitErr = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig)
}

// Kill kills the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.exited
	return nil
}

// Freeze suspends the process with SIGSTOP. Its connections stay open.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw resumes a suspended process with SIGCONT.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits until the process has exited. It returns an error if
// the process exits unsuccessfully or ctx ends first.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.exitErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Log returns the output of the process, or an error message if the log file can't
// be read.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// CPU returns the CPU time that the process has used so far, in seconds, as the
// operating system accounts for it.
func (p *Process) CPU() (float64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	return processCPU(pid)
}

// Memory returns the resident set size of the process in bytes.
func (p *Process) Memory() (int64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	return processMemory(pid)
}
