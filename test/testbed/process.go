package testbed

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is one started program. Its output goes to a file.
type Process struct {
	path string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has ended
	err  error         // set before done is closed
}

func startProcess(path, log string, args ...string) (*Process, error) {
	p := &Process{path: path, args: args, log: log}
	return p, p.Start()
}

// Start starts the program again after it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "process log")
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.path)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.err = cmd, done, nil
	go func() {
		p.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.done
	return nil
}

// Freeze stops the process without its knowledge.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to end and waits for it. The error tells a bad exit.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Log returns what the process has written.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// CPU returns the processor time that the process has used so far, in
// seconds, from the operating system's accounting.
func (p *Process) CPU() (float64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	return processCPU(pid)
}

// Memory returns the process's resident memory in bytes.
func (p *Process) Memory() (int64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	return processMemory(pid)
}
