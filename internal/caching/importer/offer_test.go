package importer_test

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/importer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// TestImportable checks offers that match the request and offers that differ in one
// property each.
func TestImportable(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name         string `json:"name"`
		Organisation string `json:"organisation"`
		Model        string `json:"model"`
		Version      string `json:"version"`
		Prompt       string `json:"prompt"`
		Blocks       int    `json:"blocks"`
		Importable   int    `json:"importable"`
		Invalid      bool   `json:"invalid"`
	}
	scripter.Read(t, "testdata/offers.json", &rows)
	scope := hasher.Scope{Organisation: "o", Model: "m", WeightsVersion: "2"}
	chain := hasher.Chain(scope, strings.Repeat("catalogue ", 400))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			// The hash of the last block is computed in the scope of the request,
			// so that a different scope is detected by its fields alone.
			offered := hasher.Chain(scope, strings.Repeat(row.Prompt, 400))
			o := importer.Offer{Organisation: row.Organisation, Model: row.Model, WeightsVersion: row.Version, Blocks: row.Blocks}
			if row.Blocks > 0 && row.Blocks <= len(offered) {
				o.LastHash = offered[row.Blocks-1]
			}
			is.Equal(o.ImportableBlocks(scope, chain), row.Importable)
			message, err := cbor.Marshal(o)
			is.NoErr(err)
			var decoded importer.Offer
			is.Equal(cbor.Unmarshal(message, &decoded) != nil, row.Invalid) // unmarshalling validates the offer
		})
	}
}
