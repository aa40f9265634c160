package generator_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/standin/archiver"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	promptBlocks    = 20
	prefillPerBlock = 2 * time.Millisecond
)

var (
	scope  = hasher.Scope{Organisation: "kliek-teels", Model: "tile-match", WeightsVersion: "w1"}
	prompt = strings.Repeat("catalogue sheet ", promptBlocks*hasher.BlockBytes/16)
)

// keptRow is one request that an engine with an empty cache gets.
type keptRow struct {
	Name string `json:"name"`
	// Organisation, Model and WeightsVersion are those of the export, where
	// they differ from the request's.
	Organisation   string `json:"organisation"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	// SameHashes has the export use the hashes of the request.
	SameHashes   bool   `json:"same_hashes"`
	Exported     int    `json:"exported"`
	StoreBlocks  int    `json:"store_blocks"`
	Fault        string `json:"fault"`
	Ask          int    `json:"ask"`
	ImportUS     int    `json:"import_us"`
	Imported     int    `json:"imported"`
	FirstTokenUS int    `json:"first_token_us"`
}

// faultyStore answers imports wrongly.
type faultyStore struct {
	*archiver.Store
	fault string
}

func (f faultyStore) Import(_ context.Context, _ hasher.Scope, _ int, chain []hasher.Hash) (int, error) {
	switch f.fault {
	case "too_many":
		return len(chain) + 1, nil
	case "negative":
		return -1, nil
	}
	return 0, errors.New("connection refused")
}

// store returns the store of the row with its export.
func (r keptRow) store(is *is.I) generator.KeptStore {
	if r.Fault == "none" {
		return nil
	}
	store, err := archiver.New(archiver.Config{Blocks: r.StoreBlocks, ImportPerBlock: time.Duration(r.ImportUS) * time.Microsecond})
	is.NoErr(err)
	exporter := hasher.Scope{
		Organisation:   cmp.Or(r.Organisation, scope.Organisation),
		Model:          cmp.Or(r.Model, scope.Model),
		WeightsVersion: cmp.Or(r.WeightsVersion, scope.WeightsVersion),
	}
	hashed := exporter
	if r.SameHashes {
		hashed = scope
	}
	is.NoErr(store.Export(context.Background(), exporter, hasher.Chain(hashed, prompt)[:r.Exported]))
	if r.Fault != "" {
		return faultyStore{Store: store, fault: r.Fault}
	}
	return store
}

func newKeptEngine(store generator.KeptStore) *generator.Engine {
	return generator.New(generator.Config{
		Name:            "e",
		Models:          []observer.LoadedModel{{Name: scope.Model, WeightsVersion: scope.WeightsVersion}},
		Slots:           2,
		CacheBlocks:     64,
		PrefillPerBlock: prefillPerBlock,
		Kept:            store,
	})
}

// ask sends the prompt for one token with the headers and returns the time that took.
func ask(is *is.I, e *generator.Engine, headers map[string]string) time.Duration {
	body, err := json.Marshal(encoder.Request{Model: scope.Model, Prompt: prompt, MaxTokens: 1})
	is.NoErr(err)
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/completions", strings.NewReader(string(body)))
	r.Header.Set(encoder.HeaderRequestID, "r")
	r.Header.Set(encoder.HeaderOrganisation, scope.Organisation)
	r.Header.Set(encoder.HeaderWeightsVersion, scope.WeightsVersion)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	start := time.Now()
	generator.Handler(e).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), generator.Token(prompt, scope.WeightsVersion, 0))) // the right answer
	return time.Since(start)
}

func TestImportOfKeptCache(t *testing.T) {
	t.Parallel()
	var rows []keptRow
	scripter.Read(t, "testdata/kept.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newKeptEngine(row.store(is))
				took := ask(is, e, map[string]string{encoder.HeaderImportBlocks: strconv.Itoa(row.Ask)})
				t.Logf("time to first token %v", took)
				is.Equal(took, time.Duration(row.FirstTokenUS)*time.Microsecond)
				stats := e.Stats()
				is.Equal(stats.ImportedBlocks, row.Imported)
				is.Equal(stats.CachedBlocks, 0) // an import is no cache hit
				is.Equal(stats.ExportedBlocks, 0)
			})
		})
	}
}

// TestExportIsImportedElsewhere takes a prefix from one engine to another
// through the HTTP form of the store.
func TestExportIsImportedElsewhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, err := archiver.New(archiver.Config{ImportPerBlock: prefillPerBlock / 10})
	is.NoErr(err)
	server := httptest.NewServer(archiver.Handler(store))
	defer server.Close()
	client := archiver.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	first, second, third := newKeptEngine(client), newKeptEngine(client), newKeptEngine(client)
	ask(is, first, map[string]string{encoder.HeaderExport: "true"})
	deadline := time.Now().Add(5 * time.Second)
	for first.Stats().ExportedBlocks < promptBlocks && time.Now().Before(deadline) {
		ask(is, first, nil)
	}
	is.Equal(first.Stats().ExportedBlocks, promptBlocks)
	with := ask(is, second, map[string]string{encoder.HeaderImportBlocks: strconv.Itoa(promptBlocks)})
	is.Equal(second.Stats().ImportedBlocks, promptBlocks)
	without := ask(is, third, nil)
	t.Logf("time to first token over HTTP: %v with import, %v without", with, without)
	server.Close()
	fourth := newKeptEngine(client)
	ask(is, fourth, map[string]string{encoder.HeaderImportBlocks: strconv.Itoa(promptBlocks), encoder.HeaderExport: "true"})
	is.Equal(fourth.Stats().ImportedBlocks, 0) // a store that is down
}
