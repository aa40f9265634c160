package logger_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/logger"
)

// A log output that nobody reads must not block the process: lines over the
// capacity of the buffer are dropped and reported.
func TestAsyncWriterDropsLinesWithoutReader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe()
		async := logger.NewAsyncWriter(writer)
		ctx, cancel := context.WithCancel(t.Context())
		go async.Run(ctx)
		const lines = 5000
		for i := range lines {
			n, err := fmt.Fprintf(async, "line %d\n", i) // the output is not read yet
			is.NoErr(err)
			is.True(n > 0)
		}
		cancel()
		var out bytes.Buffer
		go func() {
			async.Wait()
			_ = writer.Close()
		}()
		_, err := io.Copy(&out, reader)
		is.NoErr(err)
		kept := strings.Count(out.String(), "line ")
		is.True(kept > 1000)                                                           // buffered lines are written
		is.True(kept < lines)                                                          // lines over the capacity are dropped
		is.True(strings.Contains(out.String(), fmt.Sprintf(`"lines":%d`, lines-kept))) // dropped lines are counted
		is.True(strings.HasPrefix(out.String(), "line 0\n"))                           // the oldest line is kept and written first
		is.True(strings.Contains(out.String(), `"event":"log_lines_dropped"`))         // a warning reports dropped lines
	})
}

func TestAsyncWriterFlushesOnStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out bytes.Buffer
	async := logger.NewAsyncWriter(&out)
	_, err := async.Write([]byte("last line\n"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	async.Run(ctx)
	async.Wait()
	is.Equal(out.String(), "last line\n")
}
