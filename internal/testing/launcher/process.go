package launcher

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"
	"testing"
)

// Process is a running program of a test.
type Process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	output  output
	ended   chan struct{}
	err     error
}

// output gathers what a process prints.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

// Start runs a program until it ends or the test does.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, name: name, ended: make(chan struct{})}
	p.command = exec.Command(program, args...) //nolint:noctx // The process is ended by Kill, not by a context.
	p.command.Stdout = &p.output
	p.command.Stderr = &p.output
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go p.run()
	t.Cleanup(p.Kill)
	return p
}

// run waits for the process to end.
func (p *Process) run() {
	p.err = p.command.Wait()
	close(p.ended)
}

// Freeze suspends the process.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Errorf("signal %v to %s: %v", s, p.name, err)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Ended returns a channel that closes when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended, nil for status 0. It may be called once
// Ended is closed.
func (p *Process) Err() error { return p.err }

// Output returns what the process has printed so far.
func (p *Process) Output() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.text.String()
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.command.Process.Pid }
