package indexer

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

const (
	// maxEventBlocks is the maximum number of blocks of an event.
	maxEventBlocks = 4096
	// maxEventNameBytes is the maximum length of a model or weights version.
	maxEventNameBytes = 64
)

// Event is a change of the block cache of an upstream, as published by the
// upstream.
type Event struct {
	// Seq numbers the events of an incarnation consecutively from 1.
	Seq uint64 `json:"seq" cbor:"seq"`
	// Incarnation increases with each start of the upstream.
	Incarnation    uint64    `json:"incarnation" cbor:"incarnation"`
	Kind           EventKind `json:"kind" cbor:"kind"`
	Model          string    `json:"model" cbor:"model"`
	WeightsVersion string    `json:"weights_version" cbor:"weights_version"`
	Blocks         []Block   `json:"blocks,omitempty" cbor:"blocks,omitempty"`
}

// Check returns an error for the first invalid field of e.
func (e *Event) Check() error {
	if e.Seq == 0 || e.Incarnation == 0 {
		return classifier.New(classifier.MessageInvalid, "cache event: seq or incarnation is missing")
	}
	if e.Model == "" || len(e.Model) > maxEventNameBytes || e.WeightsVersion == "" || len(e.WeightsVersion) > maxEventNameBytes {
		return classifier.New(classifier.MessageInvalid, "cache event %d: model or weights_version is empty or too long", e.Seq)
	}
	if len(e.Blocks) > maxEventBlocks {
		return classifier.New(classifier.MessageInvalid, "cache event %d: too many blocks: %d", e.Seq, len(e.Blocks))
	}
	switch e.Kind {
	case Stored, Evicted:
		return e.checkBlocks()
	case Cleared:
		if len(e.Blocks) != 0 {
			return classifier.New(classifier.MessageInvalid, "cache event %d: an event of kind cleared must not list blocks", e.Seq)
		}
		return nil
	}
	return classifier.New(classifier.MessageInvalid, "cache event %d: unknown kind %q", e.Seq, e.Kind)
}

func (e *Event) checkBlocks() error {
	if len(e.Blocks) == 0 {
		return classifier.New(classifier.MessageInvalid, "cache event %d: block list is empty", e.Seq)
	}
	for _, b := range e.Blocks {
		if b.Index < 0 || b.Index > maxBlockIndex {
			return classifier.New(classifier.MessageInvalid, "cache event %d: block index %d is out of range", e.Seq, b.Index)
		}
	}
	return nil
}

// plainEvent is Event without its unmarshalling methods, to decode it without
// recursion.
type plainEvent Event

// UnmarshalJSON implements json.Unmarshaler and validates the event.
func (e *Event) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainEvent)(e)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "decode cache event")
	}
	return e.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and validates the event.
func (e *Event) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainEvent)(e)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "decode cache event")
	}
	return e.Check()
}
