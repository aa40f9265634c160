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
	// callerAddress is the address at which the router listens for callers.
	callerAddress = "router"
	// maxBufferedBytes is far below the size of an answer of slowTokens tokens.
	maxBufferedBytes = 32 << 10
)

// slowCallerFixture is a caller's raw connection to a router with one engine, on
// which a test controls how fast the response is read.
type slowCallerFixture struct {
	engine  *generator.Engine
	network *piper.Network
	conn    net.Conn
	close   func()
}

func newSlowCallerFixture(t *testing.T) *slowCallerFixture {
	t.Helper()
	f := &slowCallerFixture{network: piper.New()}
	f.engine = generator.New(generator.Config{
		Name: "up-0", Models: []observer.LoadedModel{{Name: "tile-match", WeightsVersion: "w1"}},
		Slots: 8, CacheBlocks: 8, PrefillPerBlock: time.Millisecond, TokenInterval: 10 * time.Millisecond, Incarnation: 1,
	})
	f.network.Serve(upstreamAddress.String(), generator.Handler(f.engine))
	handler, calls := newHandler(t, newHolder(t, true), f.network.Dial, orderedChooser{})
	callers := piper.New()
	callers.Serve(callerAddress, handler)
	conn, err := callers.Dial(t.Context(), "tcp", callerAddress)
	is.New(t).NoErr(err)
	f.conn = conn
	f.close = func() {
		_ = conn.Close()
		callers.Close()
		calls.Close()
		f.network.Close()
		synctest.Wait()
	}
	return f
}

// sendStreamRequest sends a streamed request and returns a reader of the response
// that reads ahead by 16 bytes at most.
func (f *slowCallerFixture) sendStreamRequest(t *testing.T, tokens int) *bufio.Reader {
	t.Helper()
	body := fmt.Sprintf(`{"model": "tile-match", "prompt": "p", "max_tokens": %d, "stream": true}`, tokens)
	_, err := fmt.Fprintf(f.conn, "POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, len(body), body)
	is.New(t).NoErr(err)
	return bufio.NewReaderSize(f.conn, 16)
}

func TestStalledCallerIsDisconnected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowCallerFixture(t)
		defer f.close()
		response := f.sendStreamRequest(t, slowTokens)
		_, err := response.ReadString('\n')
		is.NoErr(err)
		time.Sleep(4 * time.Second)
		is.True(f.network.BytesRead() < maxBufferedBytes) // the router buffers a bounded part of the answer
		is.Equal(f.engine.Stats().Cancelled, 0)
		time.Sleep(2 * time.Second)
		is.Equal(f.engine.Stats().Cancelled, 1) // disconnected after caller_write_timeout
		is.True(f.network.BytesRead() < maxBufferedBytes)
		rest, err := io.ReadAll(response)
		is.True(err != nil || !strings.Contains(string(rest), "[DONE]")) // a truncated answer does not look complete
	})
}

func TestSlowCallerReceivesCompleteAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowCallerFixture(t)
		defer f.close()
		start := time.Now()
		response := f.sendStreamRequest(t, slowTokens/10)
		nextID := 1
		for {
			line, err := response.ReadString('\n')
			is.NoErr(err)
			if strings.HasPrefix(line, "id: ") {
				is.Equal(strings.TrimSpace(line), fmt.Sprintf("id: %d", nextID))
				is.True(nextID > 1 || time.Since(start) < 50*time.Millisecond) // the first event is not held back
				nextID++
				time.Sleep(100 * time.Millisecond) // ten times slower than the engine
			}
			if strings.Contains(line, "[DONE]") {
				break
			}
		}
		is.Equal(nextID, slowTokens/10+2)
		is.Equal(f.engine.Stats().Cancelled, 0)
	})
}
