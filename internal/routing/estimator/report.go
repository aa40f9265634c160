package estimator

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxReported is the largest count that a report may carry.
const maxReported = 1 << 24

// Report is what an upstream said of its load at one moment.
type Report struct {
	Upstream    string `json:"upstream" cbor:"upstream"`
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	// Queued and Running count requests.
	Queued  int `json:"queued" cbor:"queued"`
	Running int `json:"running" cbor:"running"`
	// QueuedBlocks counts blocks of prompts that wait to be computed.
	QueuedBlocks int       `json:"queued_blocks" cbor:"queued_blocks"`
	ReportedAt   time.Time `json:"reported_at" cbor:"reported_at"`
}

// Check reports the first fault of r.
func (r *Report) Check() error {
	if r.Upstream == "" {
		return classifier.New(classifier.MessageInvalid, "report: no upstream")
	}
	if r.Incarnation == 0 || r.ReportedAt.IsZero() {
		return classifier.New(classifier.MessageInvalid, "report of %s: no incarnation or time", r.Upstream)
	}
	for _, n := range []int{r.Queued, r.Running, r.QueuedBlocks} {
		if n < 0 || n > maxReported {
			return classifier.New(classifier.MessageInvalid, "report of %s: count %d out of range", r.Upstream, n)
		}
	}
	return nil
}

// plainReport is Report without its decoders.
type plainReport Report

// UnmarshalJSON implements json.Unmarshaler and checks the report.
func (r *Report) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainReport)(r)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "report: not a report")
	}
	return r.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and checks the report.
func (r *Report) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainReport)(r)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "report: not a report")
	}
	return r.Check()
}
