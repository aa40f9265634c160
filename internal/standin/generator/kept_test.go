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
	"gentianstep.example/gentianstep/internal/testing/piper"
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

// importRow is a request to an engine with an empty cache.
type importRow struct {
	Name string `json:"name"`
	// Organisation, Model and WeightsVersion are the scope of the export. Empty
	// fields have the values of the request.
	Organisation   string `json:"organisation"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	// SameHashes exports the blocks under the hashes of the request.
	SameHashes   bool   `json:"same_hashes"`
	Exported     int    `json:"exported"`
	StoreBlocks  int    `json:"store_blocks"`
	Fault        string `json:"fault"`
	Ask          int    `json:"ask"`
	ImportUS     int    `json:"import_us"`
	Imported     int    `json:"imported"`
	FirstTokenUS int    `json:"first_token_us"`
}

// faultyStore returns an error or a wrong number of blocks for each import.
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

// newStore returns the store of the row with the exported blocks, or nil if the
// row has none.
func (r importRow) newStore(is *is.I) generator.CacheStore {
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
	hashScope := exporter
	if r.SameHashes {
		hashScope = scope
	}
	is.NoErr(store.Export(context.Background(), exporter, hasher.Chain(hashScope, prompt)[:r.Exported]))
	if r.Fault != "" {
		return faultyStore{Store: store, fault: r.Fault}
	}
	return store
}

func newEngine(store generator.CacheStore) *generator.Engine {
	return generator.New(generator.Config{
		Name:            "e",
		Models:          []observer.LoadedModel{{Name: scope.Model, WeightsVersion: scope.WeightsVersion}},
		Slots:           2,
		CacheBlocks:     64,
		PrefillPerBlock: prefillPerBlock,
		CacheStore:      store,
	})
}

// sendPrompt requests one token for the prompt with the given headers and returns
// the response time.
func sendPrompt(is *is.I, e *generator.Engine, headers map[string]string) time.Duration {
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
	is.True(strings.Contains(w.Body.String(), generator.Token(prompt, scope.WeightsVersion, 0))) // the expected token of this prompt
	return time.Since(start)
}

func TestImport(t *testing.T) {
	t.Parallel()
	var rows []importRow
	scripter.Read(t, "testdata/kept.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newEngine(row.newStore(is))
				latency := sendPrompt(is, e, map[string]string{encoder.HeaderImportBlocks: strconv.Itoa(row.Ask)})
				t.Logf("time to first token %v", latency)
				is.Equal(latency, time.Duration(row.FirstTokenUS)*time.Microsecond)
				stats := e.Stats()
				is.Equal(stats.ImportedBlocks, row.Imported)
				is.Equal(stats.CachedBlocks, 0) // an import doesn't count as a cache hit
				is.Equal(stats.ExportedBlocks, 0)
			})
		})
	}
}

// TestExportedBlocksAreImported exports a prefix from one engine and imports it
// into another through the HTTP API of the store. It runs in virtual time, since an
// import is cut off once it takes longer than computing the blocks.
func TestExportedBlocksAreImported(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, err := archiver.New(archiver.Config{ImportPerBlock: prefillPerBlock / 10})
		is.NoErr(err)
		network, address := piper.New(), netip.MustParseAddrPort("10.0.0.1:80")
		network.Serve(address.String(), archiver.Handler(store))
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		client := archiver.NewClient(archiver.ClientConfig{Address: address, HTTPClient: &http.Client{Transport: transport}})
		exporting, importing, computing := newEngine(client), newEngine(client), newEngine(client)
		sendPrompt(is, exporting, map[string]string{encoder.HeaderExport: "true"})
		deadline := time.Now().Add(5 * time.Second)
		for exporting.Stats().ExportedBlocks < promptBlocks && time.Now().Before(deadline) {
			sendPrompt(is, exporting, nil)
		}
		is.Equal(exporting.Stats().ExportedBlocks, promptBlocks)
		withImport := sendPrompt(is, importing, map[string]string{encoder.HeaderImportBlocks: strconv.Itoa(promptBlocks)})
		is.Equal(importing.Stats().ImportedBlocks, promptBlocks)
		withoutImport := sendPrompt(is, computing, nil)
		t.Logf("time to first token over HTTP: %v with import, %v without", withImport, withoutImport)
		network.Close()
		withoutStore := newEngine(client)
		sendPrompt(is, withoutStore, map[string]string{encoder.HeaderImportBlocks: strconv.Itoa(promptBlocks), encoder.HeaderExport: "true"})
		is.Equal(withoutStore.Stats().ImportedBlocks, 0) // a request succeeds without an import if the store is down
	})
}
