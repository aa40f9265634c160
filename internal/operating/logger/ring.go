package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// ringLines is the number of lines that wait for a slow reader; at the usual
// rate of a VM that is some seconds.
const ringLines = 1024

// Ring hands lines to a slow output without ever blocking the writer. Lines
// that find no room are counted and dropped.
type Ring struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewRing returns a Ring before output.
func NewRing(output io.Writer) *Ring {
	return &Ring{output: output, lines: make(chan []byte, ringLines), done: make(chan struct{})}
}

// Write implements io.Writer.
func (r *Ring) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room since the last call.
func (r *Ring) Dropped() int64 { return r.dropped.Swap(0) }

// Run writes lines until ctx ends, and then those that still wait.
func (r *Ring) Run(ctx context.Context) {
	defer r.once.Do(func() { close(r.done) })
	for {
		select {
		case line := <-r.lines:
			r.put(line)
		case <-ctx.Done():
			r.drain()
			return
		}
	}
}

// Wait returns when Run has ended.
func (r *Ring) Wait() { <-r.done }

func (r *Ring) drain() {
	for {
		select {
		case line := <-r.lines:
			r.put(line)
		default:
			return
		}
	}
}

// put writes a line. An output that fails has no reader; nobody is left to be
// told.
func (r *Ring) put(line []byte) {
	_, _ = r.output.Write(line)
	if n := r.Dropped(); n > 0 {
		_, _ = fmt.Fprintf(r.output, "{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"lines\":%d}\n", n)
	}
}
