package launcher

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"
	"testing"
)

// maxLoggedBytes is how much of the output of a process is logged if a test fails.
const maxLoggedBytes = 16 << 10

// Process is a child process that a test has started.
type Process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	output  outputBuffer
	ended   chan struct{}
	err     error
}

// outputBuffer collects the standard output and standard error of a process.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *outputBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// Start starts a program and kills it at the end of the test if it still runs. If the
// test has failed, it logs what the program printed.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, name: name, ended: make(chan struct{})}
	p.command = exec.Command(program, args...) //nolint:noctx // Kill ends the process, not a context.
	p.command.Stdout = &p.output
	p.command.Stderr = &p.output
	if err := p.command.Start(); err != nil {
		t.Fatalf("start process %s: %v", name, err)
	}
	go p.waitForExit()
	t.Cleanup(func() {
		exited := p.HasEnded()
		p.Kill()
		if t.Failed() {
			p.logOutput(exited)
		}
	})
	return p
}

// logOutput logs the end of the output of the process. exited tells whether it ended
// before the test did.
func (p *Process) logOutput(exited bool) {
	output := p.Output()
	if len(output) > maxLoggedBytes {
		output = output[len(output)-maxLoggedBytes:]
	}
	p.t.Logf("process %s (exited before the end of the test: %t, %v) printed:\n%s", p.name, exited, p.err, output)
}

// waitForExit stores the result of the process and closes ended once it exits.
func (p *Process) waitForExit() {
	p.err = p.command.Wait()
	close(p.ended)
}

// Freeze suspends the process with SIGSTOP. Its connections stay open.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a suspended process with SIGCONT.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Errorf("send signal %v to process %s: %v", s, p.name, err)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Ended returns a channel that is closed when the process has exited.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// HasEnded reports whether the process has exited.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Err returns the exit error of the process, or nil for status 0. It must not be
// called before Ended is closed.
func (p *Process) Err() error { return p.err }

// Output returns the standard output and standard error of the process so far.
func (p *Process) Output() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.text.String()
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }
