package soaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopBound is the time within which a gateway must exit after SIGTERM. It exceeds the
// stop grace of the settings by the longest time for which a step suspends a process.
const stopBound = 8*time.Second + maxLength + time.Second

// Gateway is a gateway whose process is started again whenever a step has ended it.
type Gateway struct {
	Name string
	// Front is the address that callers dial, the others are those of the process.
	Front, Client, Ready, Internal, Metrics, Store netip.AddrPort

	program  string
	settings string
	log      *os.File
	journal  *Journal

	mu      sync.Mutex
	process *os.Process
	// number counts the processes, starting from 1.
	number int
	// endWanted is true if a step has ended the process that runs.
	endWanted bool
	// logStart is the size of the log when the process started.
	logStart int64
	// stopBy is the time by which the process must have exited after SIGTERM, zero if
	// none was sent.
	stopBy time.Time
	// restartAt is the earliest time of the next start.
	restartAt time.Time
	// inRotation is true if new connections go to the gateway.
	inRotation bool
}

// open creates the log of the gateway in dir and sets the path of its settings.
func (g *Gateway) open(dir string) error {
	var err error
	g.settings = filepath.Join(dir, g.Name+".toml")
	g.log, err = os.Create(filepath.Join(dir, g.Name+".log"))
	if err != nil {
		return fmt.Errorf("create log of gateway %s: %w", g.Name, err)
	}
	return nil
}

// run keeps a process running until ctx ends, and then kills it.
func (g *Gateway) run(ctx context.Context) {
	defer func() { _ = g.log.Close() }()
	for ctx.Err() == nil {
		command := exec.CommandContext(ctx, g.program, "gateway", "--settings", g.settings)
		command.Stdout, command.Stderr = g.log, g.log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			g.journal.Violate(Violation{Promise: OwnEnd, Subject: g.Name, Detail: err.Error()})
			return
		}
		g.begin(command.Process)
		err := command.Wait()
		if ctx.Err() == nil {
			g.checkEnd(err)
			g.pause(ctx)
		}
	}
}

func (g *Gateway) begin(p *os.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process, g.endWanted, g.stopBy, g.logStart = p, false, time.Time{}, g.logSize()
	g.number++
}

// checkEnd notes a violation if no step has ended the process, or if it did not
// stop in good order.
func (g *Gateway) checkEnd(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process, g.inRotation = nil, false
	g.checkStop()
	var exit *exec.ExitError
	signalled := errors.As(err, &exit) && exit.ExitCode() < 0
	// A signal may end a process that has not begun to work.
	if signalled && g.logSize() == g.logStart {
		return
	}
	killed := err != nil && err.Error() == "signal: killed"
	if !g.endWanted || err != nil && !killed {
		g.journal.Violate(Violation{Promise: OwnEnd, Subject: g.Name, Detail: fmt.Sprintf("process %d ended: %v", g.number, err)})
	}
}

// logSize returns the size of the log.
func (g *Gateway) logSize() int64 {
	info, err := g.log.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// checkStop notes a violation if the process has not stopped in time. The caller must
// hold mu.
func (g *Gateway) checkStop() {
	if !g.stopBy.IsZero() && time.Now().After(g.stopBy) {
		g.journal.Violate(Violation{Promise: OwnEnd, Subject: g.Name, Detail: fmt.Sprintf("process %d runs %s after SIGTERM", g.number, stopBound)})
	}
}

// pause waits until the next start.
func (g *Gateway) pause(ctx context.Context) {
	g.mu.Lock()
	at := g.restartAt
	g.mu.Unlock()
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

// end sends a signal that ends the process, which is started again at restartAt
// or later.
func (g *Gateway) end(signal os.Signal, restartAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restartAt = restartAt
	if g.process != nil {
		g.endWanted = true
		if signal == syscall.SIGTERM && g.stopBy.IsZero() {
			g.stopBy = time.Now().Add(stopBound)
		}
		_ = g.process.Signal(signal) // fails if the process has just exited, which run notes
	}
}

// signal sends a signal to the process, if any, and returns a function that sends
// another one to the same process.
func (g *Gateway) signal(s syscall.Signal) func(syscall.Signal) {
	g.mu.Lock()
	p := g.process
	g.mu.Unlock()
	send := func(s syscall.Signal) {
		if p != nil {
			_ = p.Signal(s) // the process may have exited
		}
	}
	send(s)
	return send
}

// processNumber returns the number of the process that runs.
func (g *Gateway) processNumber() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.number
}

// isInRotation reports whether callers open connections to the gateway.
func (g *Gateway) isInRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inRotation
}

const (
	readyInterval = 250 * time.Millisecond
	// missesToLeave is the number of failed checks that end the rotation.
	missesToLeave = 2
)

// runChecks asks the gateway whether it is ready until ctx ends.
func (g *Gateway) runChecks(ctx context.Context, path string) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	misses := 0
	for {
		if isReady(ctx, client, "http://"+g.Ready.String()+path) {
			misses = 0
		} else {
			misses++
		}
		if misses == 0 || misses >= missesToLeave {
			g.mu.Lock()
			g.inRotation = misses == 0
			g.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
