package indexer

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxUpdateHashes is the maximum number of hashes of an update.
const maxUpdateHashes = 1 << 16

// UpdateKind is the way in which an update changes the index.
type UpdateKind string

// Kinds of updates.
const (
	// Change adds Stored and removes Evicted.
	Change UpdateKind = "change"
	// Full replaces all records of the upstream and model by Stored.
	Full UpdateKind = "full"
	// Gap demotes all records of the upstream, because events were lost.
	Gap UpdateKind = "gap"
)

// Update is sent by the controller that reads the events of an upstream to the owner
// of a partition of the index. It lists checkpoints only.
type Update struct {
	Kind        UpdateKind `json:"kind" cbor:"kind"`
	Upstream    string     `json:"upstream" cbor:"upstream"`
	Incarnation uint64     `json:"incarnation" cbor:"incarnation"`
	// Seq is the sequence number of the last event that the update includes, or
	// of the last lost event for a gap. A full update older than the previous
	// update of the model is dropped, and so is a change that is not newer.
	Seq            uint64        `json:"seq" cbor:"seq"`
	Model          string        `json:"model,omitempty" cbor:"model,omitempty"`
	WeightsVersion string        `json:"weights_version,omitempty" cbor:"weights_version,omitempty"`
	Stored         []hasher.Hash `json:"stored,omitempty" cbor:"stored,omitempty"`
	Evicted        []hasher.Hash `json:"evicted,omitempty" cbor:"evicted,omitempty"`
}

// Check returns an error for the first invalid field of u.
func (u *Update) Check() error {
	if u.Upstream == "" || u.Incarnation == 0 {
		return classifier.New(classifier.MessageInvalid, "index update: upstream or incarnation is missing")
	}
	if len(u.Stored)+len(u.Evicted) > maxUpdateHashes {
		return classifier.New(classifier.MessageInvalid, "index update of upstream %s: too many hashes", u.Upstream)
	}
	switch u.Kind {
	case Gap:
		return nil
	case Change, Full:
		if u.Model == "" || u.WeightsVersion == "" {
			return classifier.New(classifier.MessageInvalid, "index update of upstream %s: model or weights_version is missing", u.Upstream)
		}
		return nil
	}
	return classifier.New(classifier.MessageInvalid, "index update of upstream %s: unknown kind %q", u.Upstream, u.Kind)
}

// plainUpdate is Update without its unmarshalling methods, to decode it without
// recursion.
type plainUpdate Update

// UnmarshalJSON implements json.Unmarshaler and validates the update.
func (u *Update) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainUpdate)(u)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "decode index update")
	}
	return u.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and validates the update.
func (u *Update) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainUpdate)(u)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "decode index update")
	}
	return u.Check()
}
