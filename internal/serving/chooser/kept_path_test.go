package chooser_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
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
	"gentianstep.example/gentianstep/internal/testing/piper"
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
// import no longer than the computation would take.
const prefillPerBlock = 20 * time.Millisecond

// startEngine returns an engine and runs it at an address of a network.
func startEngine(network *piper.Network, u checker.Upstream, store generator.CacheStore) *generator.Engine {
	e := generator.New(generator.Config{
		Name:            u.Name,
		Models:          []observer.LoadedModel{{Name: "tile-match", WeightsVersion: "w1"}},
		Slots:           8,
		CacheBlocks:     64,
		PrefillPerBlock: prefillPerBlock,
		Incarnation:     1,
		CacheStore:      store,
	})
	network.Serve(u.Address.String(), generator.Handler(e))
	return e
}

// TestImportAfterEngineStops stops the engine that holds a hot prefix. The other
// engine has to import the prefix from the store, or compute it if the store has
// stopped too. It runs in virtual time, since an import is cut off once it takes longer
// than computing the blocks.
func TestImportAfterEngineStops(t *testing.T) {
	t.Parallel()
	for _, storeStops := range []bool{false, true} {
		t.Run(fmt.Sprintf("store_stops_%t", storeStops), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { importAfterEngineStops(t, storeStops) })
		})
	}
}

func importAfterEngineStops(t *testing.T, storeStops bool) {
	t.Helper()
	is := is.New(t)
	store, err := archiver.New(archiver.Config{ImportPerBlock: 500 * time.Microsecond})
	is.NoErr(err)
	network, storeAddress := piper.New(), netip.MustParseAddrPort("10.0.0.9:80")
	defer network.Close()
	network.Serve(storeAddress.String(), archiver.Handler(store))
	transport := &http.Transport{DialContext: network.Dial}
	defer transport.CloseIdleConnections()
	client := archiver.NewClient(archiver.ClientConfig{Address: storeAddress, HTTPClient: &http.Client{Transport: transport}})
	engines, addresses := map[string]*generator.Engine{}, map[string]string{}
	b := keptTest{Import: checker.Duration(500 * time.Microsecond)}.bundle()
	b.Upstreams = b.Upstreams[:2]
	for i := range b.Upstreams {
		u := &b.Upstreams[i]
		u.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		engines[u.Name], addresses[u.Name] = startEngine(network, *u, client), u.Address.String()
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
	calls := caller.New(caller.Config{Dial: network.Dial})
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
	network.Stop(addresses[holder])
	if storeStops {
		network.Stop(storeAddress.String())
	}
	other := send("last")
	is.True(other != holder)
	imported := sharedBlocks
	if storeStops {
		imported = 0
	}
	is.Equal(engines[other].Stats().ImportedBlocks, imported)
}
