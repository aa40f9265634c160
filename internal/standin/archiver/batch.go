package archiver

import (
	"encoding/json"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxBatchBlocks limits the number of blocks in one request.
const maxBatchBlocks = 1 << 15

// Paths of the HTTP API of the store.
const (
	PathImports = "/v1/imports"
	PathExports = "/v1/exports"
)

// Batch is the body of an import or export request.
type Batch struct {
	Organisation   string `json:"organisation"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	// Held is the number of leading blocks that the engine already holds, which
	// are not sent. It is 0 in an export.
	Held int `json:"held"`
	// Blocks holds the hashes of the leading blocks of a prompt in their order.
	Blocks []hasher.Hash `json:"blocks"`
}

// ImportResponse is the body of the response to an import. Blocks is the number
// of leading blocks that the engine has after it.
type ImportResponse struct {
	Blocks int `json:"blocks"`
}

func newBatch(scope hasher.Scope, held int, chain []hasher.Hash) Batch {
	return Batch{
		Organisation:   scope.Organisation,
		Model:          scope.Model,
		WeightsVersion: scope.WeightsVersion,
		Held:           held,
		Blocks:         chain,
	}
}

// Scope returns the scope of the blocks.
func (b *Batch) Scope() hasher.Scope {
	return hasher.Scope{Organisation: b.Organisation, Model: b.Model, WeightsVersion: b.WeightsVersion}
}

// Check returns an error for the first invalid field of b.
func (b *Batch) Check() error {
	if b.Organisation == "" || b.Model == "" || b.WeightsVersion == "" {
		return classifier.New(classifier.MessageInvalid, "batch: no organisation, model or weights_version")
	}
	if len(b.Blocks) < 1 || len(b.Blocks) > maxBatchBlocks {
		return classifier.New(classifier.MessageInvalid, "batch: %d blocks, takes 1 to %d", len(b.Blocks), maxBatchBlocks)
	}
	if b.Held < 0 || b.Held > len(b.Blocks) {
		return classifier.New(classifier.MessageInvalid, "batch: held %d of %d blocks", b.Held, len(b.Blocks))
	}
	return nil
}

// plainBatch is Batch without UnmarshalJSON, which would recurse.
type plainBatch Batch

// UnmarshalJSON implements json.Unmarshaler and validates the batch.
func (b *Batch) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainBatch)(b)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "batch: not a batch")
	}
	return b.Check()
}
