package chooser_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/archiver"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// answerBuffer is a dispatcher.Sink that concatenates the text of an answer.
type answerBuffer struct{ strings.Builder }

func (s *answerBuffer) WriteChunk(_ uint64, c encoder.Chunk) error {
	s.WriteString(c.Text())
	return nil
}

// prefillPerBlock makes the computation of the prompt slow. An engine waits for an
// import no longer than the computation would take, and the store replies late on a
// busy VM.
const prefillPerBlock = 20 * time.Millisecond

// startEngine returns an engine and the server that runs it.
func startEngine(name string, store generator.CacheStore) (*generator.Engine, *httptest.Server) {
	e := generator.New(generator.Config{
		Name:            name,
		Models:          []observer.LoadedModel{{Name: "tile-match", WeightsVersion: "w1"}},
		Slots:           8,
		CacheBlocks:     64,
		PrefillPerBlock: prefillPerBlock,
		Incarnation:     1,
		CacheStore:      store,
	})
	return e, httptest.NewServer(generator.Handler(e))
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// TestImportAfterEngineStops stops the engine that holds a hot prefix. The other
// engine has to import the prefix from the store, or compute it if the store has
// stopped too.
func TestImportAfterEngineStops(t *testing.T) {
	t.Parallel()
	for _, storeStops := range []bool{false, true} {
		t.Run(fmt.Sprintf("store_stops_%t", storeStops), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store, err := archiver.New(archiver.Config{ImportPerBlock: 500 * time.Microsecond})
			is.NoErr(err)
			storeServer := httptest.NewServer(archiver.Handler(store))
			defer storeServer.Close()
			client := archiver.NewClient(addressOf(storeServer))
			engines, servers := map[string]*generator.Engine{}, map[string]*httptest.Server{}
			b := keptTest{Import: checker.Duration(500 * time.Microsecond)}.bundle()
			b.Upstreams = b.Upstreams[:2]
			for i, u := range b.Upstreams {
				engines[u.Name], servers[u.Name] = startEngine(u.Name, client)
				defer servers[u.Name].Close()
				b.Upstreams[i].Address = addressOf(servers[u.Name])
			}
			// The stop may cause two retries: one after a failure on a pooled connection,
			// which does not affect the engine's health, and one after a failure on a
			// new connection.
			b.Policy.Attempts.RetryBudget = 1
			b.Policy.Streams = checker.StreamPolicy{
				FirstByteTimeout: checker.Duration(10 * time.Second),
				IdleTimeout:      checker.Duration(5 * time.Second),
				TotalTimeout:     checker.Duration(time.Minute),
			}
			log, hook := logtest.NewNullLogger()
			c, err := chooser.New(chooser.Config{Region: "west", AvailabilityZone: "west-1", Log: logrus.NewEntry(log)})
			is.NoErr(err)
			c.SetBundle(b)
			calls := caller.New(caller.Config{})
			defer calls.Close()
			d := dispatcher.New(dispatcher.Config{Caller: calls, Chooser: c, Log: logrus.NewEntry(log)})
			send := func(id string) string {
				j := newJob(b, id, "kliek-teels", "w1")
				var answer answerBuffer
				is.NoErr(d.Complete(context.Background(), j, &answer))
				is.Equal(answer.String(), generator.Token(j.Request.Prompt, "w1", 0))
				chosen, _ := hook.LastEntry().Data["chosen"].(string)
				return chosen
			}
			holder := send("0")
			deadline := time.Now().Add(5 * time.Second)
			for n := 1; engines[holder].Stats().ExportedBlocks == 0 && time.Now().Before(deadline); n++ {
				is.Equal(send(fmt.Sprint(n)), holder)
			}
			is.True(engines[holder].Stats().ExportedBlocks > 0) // exported before the deadline
			servers[holder].Close()
			if storeStops {
				storeServer.Close()
			}
			other := send("last")
			is.True(other != holder)
			imported := sharedBlocks
			if storeStops {
				imported = 0
			}
			is.Equal(engines[other].Stats().ImportedBlocks, imported)
		})
	}
}
