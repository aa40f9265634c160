// Package importer decides which blocks an upstream may import for a request from
// the store of exported caches. It does no I/O.
package importer

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Offer describes a prefix in the store of exported caches.
type Offer struct {
	Organisation   string `json:"organisation" cbor:"organisation"`
	Model          string `json:"model" cbor:"model"`
	WeightsVersion string `json:"weights_version" cbor:"weights_version"`
	// Blocks is the number of exported leading blocks.
	Blocks int `json:"blocks" cbor:"blocks"`
	// LastHash is the chained hash of the last exported block. It identifies
	// the whole prefix.
	LastHash hasher.Hash `json:"last" cbor:"last"`
}

// Check returns an error for the first invalid field of o.
func (o *Offer) Check() error {
	if o.Organisation == "" || o.Model == "" || o.WeightsVersion == "" {
		return classifier.New(classifier.MessageInvalid, "offer: organisation, model or weights_version is missing")
	}
	if o.Blocks < 1 {
		return classifier.New(classifier.MessageInvalid, "offer: invalid block count %d", o.Blocks)
	}
	return nil
}

// plainOffer is Offer without its unmarshalling methods, to decode it without
// recursion.
type plainOffer Offer

// UnmarshalJSON implements json.Unmarshaler and validates the offer.
func (o *Offer) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainOffer)(o)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "decode offer")
	}
	return o.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and validates the offer.
func (o *Offer) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainOffer)(o)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "decode offer")
	}
	return o.Check()
}

// ImportableBlocks returns the number of leading blocks of chain that an upstream with
// the weights of scope may import from o. It is 0 if the organisation, the model or
// the weights version differs, or if the offer is not a prefix of chain.
func (o *Offer) ImportableBlocks(scope hasher.Scope, chain []hasher.Hash) int {
	offered := hasher.Scope{Organisation: o.Organisation, Model: o.Model, WeightsVersion: o.WeightsVersion}
	if offered != scope || o.Blocks < 1 || o.Blocks > len(chain) {
		return 0
	}
	if chain[o.Blocks-1] != o.LastHash {
		return 0
	}
	return o.Blocks
}
