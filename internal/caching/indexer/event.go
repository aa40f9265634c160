package indexer

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

const (
	// maxEventBlocks is the largest number of blocks of one event.
	maxEventBlocks = 4096
	// maxEventName is the longest model or weights version, in bytes.
	maxEventName = 64
)

// Event is one change of the block cache of an upstream, as the upstream
// publishes it.
type Event struct {
	// Seq counts the events of one incarnation from 1 without holes.
	Seq uint64 `json:"seq" cbor:"seq"`
	// Incarnation rises with each start of the upstream.
	Incarnation    uint64  `json:"incarnation" cbor:"incarnation"`
	Kind           Kind    `json:"kind" cbor:"kind"`
	Model          string  `json:"model" cbor:"model"`
	WeightsVersion string  `json:"weights_version" cbor:"weights_version"`
	Blocks         []Block `json:"blocks,omitempty" cbor:"blocks,omitempty"`
}

// Check reports the first fault of e.
func (e *Event) Check() error {
	if e.Seq == 0 || e.Incarnation == 0 {
		return classifier.New(classifier.MessageInvalid, "cache event: no seq or incarnation")
	}
	if e.Model == "" || len(e.Model) > maxEventName || e.WeightsVersion == "" || len(e.WeightsVersion) > maxEventName {
		return classifier.New(classifier.MessageInvalid, "cache event %d: model or weights_version out of range", e.Seq)
	}
	if len(e.Blocks) > maxEventBlocks {
		return classifier.New(classifier.MessageInvalid, "cache event %d: %d blocks", e.Seq, len(e.Blocks))
	}
	switch e.Kind {
	case Stored, Evicted:
		return e.checkBlocks()
	case Cleared:
		if len(e.Blocks) != 0 {
			return classifier.New(classifier.MessageInvalid, "cache event %d: cleared takes no blocks", e.Seq)
		}
		return nil
	}
	return classifier.New(classifier.MessageInvalid, "cache event %d: unknown kind %q", e.Seq, e.Kind)
}

func (e *Event) checkBlocks() error {
	if len(e.Blocks) == 0 {
		return classifier.New(classifier.MessageInvalid, "cache event %d: no blocks", e.Seq)
	}
	for _, b := range e.Blocks {
		if b.Index < 0 || b.Index > maxBlockIndex {
			return classifier.New(classifier.MessageInvalid, "cache event %d: block index %d", e.Seq, b.Index)
		}
	}
	return nil
}

// plainEvent is Event without its decoders.
type plainEvent Event

// UnmarshalJSON implements json.Unmarshaler and checks the event.
func (e *Event) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainEvent)(e)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "cache event: not an event")
	}
	return e.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and checks the event.
func (e *Event) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainEvent)(e)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "cache event: not an event")
	}
	return e.Check()
}
