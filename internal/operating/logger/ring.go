package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxBufferedLines is the capacity of the buffer; at the usual log rate of a VM it
// lasts for some seconds.
const maxBufferedLines = 1024

// AsyncWriter is a buffered writer that passes log lines to an output asynchronously, so
// that a slow output never blocks the logger. If the buffer is full, new lines are
// dropped and counted.
type AsyncWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a Ring that writes to output. Nothing is written until Run is
// called.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	return &AsyncWriter{output: output, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
}

// Write implements io.Writer. It never blocks and reports dropped lines as
// written.
func (r *AsyncWriter) Write(line []byte) (int, error) {
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

// Dropped returns the number of lines dropped since the last call.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Swap(0) }

// Run writes lines until ctx is done, and then the lines that are still buffered.
func (r *AsyncWriter) Run(ctx context.Context) {
	defer r.once.Do(func() { close(r.done) })
	for {
		select {
		case line := <-r.lines:
			r.writeLine(line)
		case <-ctx.Done():
			r.flush()
			return
		}
	}
}

// Wait blocks until Run has returned.
func (r *AsyncWriter) Wait() { <-r.done }

// flush writes all buffered lines.
func (r *AsyncWriter) flush() {
	for {
		select {
		case line := <-r.lines:
			r.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and a warning if lines were dropped since the last one.
// Write errors are ignored: an output that fails has no reader to report them to.
func (r *AsyncWriter) writeLine(line []byte) {
	_, _ = r.output.Write(line)
	if n := r.Dropped(); n > 0 {
		_, _ = fmt.Fprintf(r.output, "{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"lines\":%d}\n", n)
	}
}
