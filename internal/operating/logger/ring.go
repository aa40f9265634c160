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

// AsyncWriter is a buffered writer that passes log lines to an output
// asynchronously, so that a slow output never blocks the logger. If the buffer is
// full, new lines are dropped and counted.
type AsyncWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to output. Nothing is written
// until Run is called.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	return &AsyncWriter{output: output, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
}

// Write implements io.Writer. It never blocks and reports dropped lines as
// written.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Swap(0) }

// Run writes lines until ctx is done, and then the lines that are still buffered.
func (w *AsyncWriter) Run(ctx context.Context) {
	defer w.once.Do(func() { close(w.done) })
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

// Wait blocks until Run has returned.
func (w *AsyncWriter) Wait() { <-w.done }

// flush writes all buffered lines.
func (w *AsyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and a warning if lines were dropped since the last one.
// Write errors are ignored: an output that fails has no reader to report them to.
func (w *AsyncWriter) writeLine(line []byte) {
	_, _ = w.output.Write(line)
	if n := w.Dropped(); n > 0 {
		_, _ = fmt.Fprintf(w.output, "{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"lines\":%d}\n", n)
	}
}
