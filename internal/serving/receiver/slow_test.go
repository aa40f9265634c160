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
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	slowTokens = 2000
	// callerAddress is where the router listens.
	callerAddress = "router"
	// boundBytes is far under the size of a whole answer of slowTokens.
	boundBytes = 32 << 10
)

// slowBench is a caller's own connection to a router before one engine.
type slowBench struct {
	engine  *generator.Engine
	network *piper.Network
	conn    net.Conn
	close   func()
}

func newSlowBench(t *testing.T) *slowBench {
	t.Helper()
	b := &slowBench{network: piper.New()}
	b.engine = generator.New(generator.Config{
		Name: "up-0", Models: []observer.LoadedModel{{Name: "tile-match", WeightsVersion: "w1"}},
		Slots: 8, CacheBlocks: 8, PrefillPerBlock: time.Millisecond, TokenInterval: 10 * time.Millisecond, Incarnation: 1,
	})
	b.network.Serve(upstreamAddress.String(), generator.Handler(b.engine))
	handler, calls := newHandler(t, newHolder(t, true), b.network.Dial, only{})
	callers := piper.New()
	callers.Serve(callerAddress, handler)
	conn, err := callers.Dial(t.Context(), "tcp", callerAddress)
	is.New(t).NoErr(err)
	b.conn = conn
	b.close = func() {
		_ = conn.Close()
		callers.Close()
		calls.Close()
		b.network.Close()
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
		is.True(b.network.BytesRead() < boundBytes) // the router holds a bounded part
		is.Equal(b.engine.Stats().Cancelled, 0)
		time.Sleep(2 * time.Second)
		is.Equal(b.engine.Stats().Cancelled, 1) // cut after caller_write_timeout
		is.True(b.network.BytesRead() < boundBytes)
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
