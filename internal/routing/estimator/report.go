package estimator

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxReportedCount is the largest valid count in a report.
const maxReportedCount = 1 << 24

// Report is the load that an upstream reported at one moment.
type Report struct {
	Upstream    string `json:"upstream" cbor:"upstream"`
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	// Queued and Running are numbers of requests.
	Queued  int `json:"queued" cbor:"queued"`
	Running int `json:"running" cbor:"running"`
	// QueuedBlocks is the number of prompt blocks that are still to be
	// computed.
	QueuedBlocks int       `json:"queued_blocks" cbor:"queued_blocks"`
	ReportedAt   time.Time `json:"reported_at" cbor:"reported_at"`
}

// Check returns an error for the first invalid field of r.
func (r *Report) Check() error {
	if r.Upstream == "" {
		return classifier.New(classifier.MessageInvalid, "load report: upstream is empty")
	}
	if r.Incarnation == 0 || r.ReportedAt.IsZero() {
		return classifier.New(classifier.MessageInvalid, "load report of upstream %q: incarnation or time is zero", r.Upstream)
	}
	for _, n := range []int{r.Queued, r.Running, r.QueuedBlocks} {
		if n < 0 || n > maxReportedCount {
			return classifier.New(classifier.MessageInvalid, "load report of upstream %q: count %d is out of range", r.Upstream, n)
		}
	}
	return nil
}

// plainReport is Report without its unmarshalling methods, to prevent
// recursion.
type plainReport Report

// UnmarshalJSON implements json.Unmarshaler and validates the report.
func (r *Report) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plainReport)(r)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "load report: malformed encoding")
	}
	return r.Check()
}

// UnmarshalCBOR implements cbor.Unmarshaler and validates the report.
func (r *Report) UnmarshalCBOR(data []byte) error {
	if err := cbor.Unmarshal(data, (*plainReport)(r)); err != nil {
		return classifier.Wrap(classifier.MessageInvalid, err, "load report: malformed encoding")
	}
	return r.Check()
}
