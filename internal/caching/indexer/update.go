package indexer

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxUpdateHashes is the largest number of hashes of one update.
const maxUpdateHashes = 1 << 16

// UpdateKind tells how an update changes the index.
type UpdateKind string

// Kinds of updates.
const (
	// Change adds Stored and removes Evicted.
	Change UpdateKind = "change"
	// Full replaces all that was believed of the upstream and model by Stored.
	Full UpdateKind = "full"
	// Gap demotes all that was believed of the upstream: events were lost.
	Gap UpdateKind = "gap"
)

// Update is what the reader of an upstream's events tells the owner of a part
// of the index. It names checkpoints only.
type Update struct {
	Kind        UpdateKind `json:"kind" cbor:"kind"`
	Upstream    string     `json:"upstream" cbor:"upstream"`
	Incarnation uint64     `json:"incarnation" cbor:"incarnation"`
	// Seq is that of the last event that the update contains. An update older
	// than the one before it is dropped, and so is a change that is not newer.
	// For a gap it is that of the last lost event.
	Seq            uint64        `json:"seq" cbor:"seq"`
	Model          string        `json:"model,omitempty" cbor:"model,omitempty"`
	WeightsVersion string        `json:"weights_version,omitempty" cbor:"weights_version,omitempty"`
	Stored         []hasher.Hash `json:"stored,omitempty" cbor:"stored,omitempty"`
	Evicted        []hasher.Hash `json:"evicted,omitempty" cbor:"evicted,omitempty"`
}

// Check reports the first fault of u.
func (u *Update) Check() error {
	if u.Upstream == "" || u.Incarnation == 0 {
		return classifier.New(classifier.MessageInvalid, "index update: no upstream or incarnation")
	}
	if len(u.Stored)+len(u.Evicted) > maxUpdateHashes {
		return classifier.New(classifier.MessageInvalid, "index update of %s: too many hashes", u.Upstream)
	}
	switch u.Kind {
	case Gap:
		return nil
	case Change, Full:
		if u.Model == "" || u.WeightsVersion == "" {
			return classifier.New(classifier.MessageInvalid, "index update of %s: no model or weights_version", u.Upstream)
		}
		return nil
	}
	return classifier.New(classifier.MessageInvalid, "index update of %s: unknown kind %q", u.Upstream, u.Kind)
}

// plainUpdate is Update without its decoders.
type plainUpdate Update

// UnmarshalJSON implements json.Unmarshaler and checks the update.
func (u *Update) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainUpdate)(u)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "index update: not an update")
	}
	return u.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and checks the update.
func (u *Update) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainUpdate)(u)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "index update: not an update")
	}
	return u.Check()
}
