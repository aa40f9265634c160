package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	slowTokens = 2000
	// boundBytes is far under the size of a whole answer of slowTokens.
	boundBytes = 32 << 10
)

// slowBench is a caller's own connection to a router before one engine.
type slowBench struct {
	engine   *generator.Engine
	upstream *pipes
	conn     net.Conn
	close    func()
}

func newSlowBench(t *testing.T) *slowBench {
	t.Helper()
	b := &slowBench{upstream: newPipes()}
	b.engine = generator.New(generator.Config{
		Name: "up-0", Models: []observer.LoadedModel{{Name: "tile-match", WeightsVersion: "w1"}},
		Slots: 8, CacheBlocks: 8, PrefillPerBlock: time.Millisecond, TokenInterval: 10 * time.Millisecond, Incarnation: 1,
	})
	closeEngine := serve(b.upstream, generator.Handler(b.engine))
	handler, calls := newHandler(t, newHolder(t, true), b.upstream.dial, only{})
	callers := newPipes()
	closeRouter := serve(callers, handler)
	near, far := net.Pipe()
	callers.incoming <- far
	b.conn = near
	b.close = func() {
		_ = near.Close()
		closeRouter()
		calls.Close()
		closeEngine()
		synctest.Wait()
	}
	return b
}

// ask sends a streamed request and returns the answer as it comes.
func (b *slowBench) ask(t *testing.T, tokens int) *bufio.Reader {
	t.Helper()
	body := fmt.Sprintf(`{"model": "tile-match", "prompt": "p", "max_tokens": %d, "stream": true}`, tokens)
	_, err := fmt.Fprintf(b.conn, "POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, len(body), body)
	is.New(t).NoErr(err)
	return bufio.NewReaderSize(b.conn, 16)
}

func TestCallerThatStopsReadingIsCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newSlowBench(t)
		defer b.close()
		answer := b.ask(t, slowTokens)
		_, err := answer.ReadString('\n')
		is.NoErr(err)
		time.Sleep(4 * time.Second)
		is.True(b.upstream.bytesRead() < boundBytes) // the router holds a bounded part
		is.Equal(b.engine.Stats().Cancelled, 0)
		time.Sleep(2 * time.Second)
		is.Equal(b.engine.Stats().Cancelled, 1) // cut after caller_write_timeout
		is.True(b.upstream.bytesRead() < boundBytes)
		rest, err := io.ReadAll(answer)
		is.True(err != nil || !strings.Contains(string(rest), "[DONE]")) // no silent short answer
	})
}

func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newSlowBench(t)
		defer b.close()
		start := time.Now()
		answer := b.ask(t, slowTokens/10)
		next := 1
		for {
			line, err := answer.ReadString('\n')
			is.NoErr(err)
			if strings.HasPrefix(line, "id: ") {
				is.Equal(strings.TrimSpace(line), fmt.Sprintf("id: %d", next))
				is.True(next > 1 || time.Since(start) < 50*time.Millisecond) // each event leaves at once
				next++
				time.Sleep(100 * time.Millisecond) // ten times slower than the engine
			}
			if strings.Contains(line, "[DONE]") {
				break
			}
		}
		is.Equal(next, slowTokens/10+2)
		is.Equal(b.engine.Stats().Cancelled, 0)
	})
}
