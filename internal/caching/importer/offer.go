// Package importer decides which kept cache an upstream may import for a
// request. It does no I/O.
package importer

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Offer is one exported prefix in the store of kept cache.
type Offer struct {
	Organisation   string `json:"organisation" cbor:"organisation"`
	Model          string `json:"model" cbor:"model"`
	WeightsVersion string `json:"weights_version" cbor:"weights_version"`
	// Blocks is the number of leading blocks that were exported.
	Blocks int `json:"blocks" cbor:"blocks"`
	// Last is the hash of the last of them, which names them all.
	Last hasher.Hash `json:"last" cbor:"last"`
}

// Check reports the first fault of o.
func (o *Offer) Check() error {
	if o.Organisation == "" || o.Model == "" || o.WeightsVersion == "" {
		return classifier.New(classifier.MessageInvalid, "offer: no organisation, model or weights_version")
	}
	if o.Blocks < 1 {
		return classifier.New(classifier.MessageInvalid, "offer: %d blocks", o.Blocks)
	}
	return nil
}

// plainOffer is Offer without its decoders.
type plainOffer Offer

// UnmarshalJSON implements json.Unmarshaler and checks the offer.
func (o *Offer) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainOffer)(o)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "offer: not an offer")
	}
	return o.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and checks the offer.
func (o *Offer) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainOffer)(o)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "offer: not an offer")
	}
	return o.Check()
}

// Importable returns the number of leading blocks of chain that an upstream with
// the weights of scope may import from o. It is 0 for another organisation,
// model or weights version, and where the blocks are not those of the chain.
func (o *Offer) Importable(scope hasher.Scope, chain []hasher.Hash) int {
	offered := hasher.Scope{Organisation: o.Organisation, Model: o.Model, WeightsVersion: o.WeightsVersion}
	if offered != scope || o.Blocks < 1 || o.Blocks > len(chain) {
		return 0
	}
	if chain[o.Blocks-1] != o.Last {
		return 0
	}
	return o.Blocks
}
