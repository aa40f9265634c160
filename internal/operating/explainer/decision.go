package explainer

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Decision is a routing decision: the fields of its log line by name.
type Decision map[string]any

// RequestID returns the ID of the request that was routed.
func (d Decision) RequestID() string {
	id, _ := d["request_id"].(string)
	return id
}

// leadingFields are written before the other fields, in this order.
var leadingFields = []string{"time", "node", "request_id", "attempt", "organisation", "model", "service", "policy", "chosen", "reason"}

// hiddenFields are not written because they describe the log line rather than the
// decision.
var hiddenFields = []string{"event", "level", "msg", "process"}

// Write writes the decision in human-readable form, one field per line.
func (d Decision) Write(w io.Writer) error {
	for _, name := range d.fieldNames() {
		text, err := json.Marshal(d[name])
		if err != nil {
			return fmt.Errorf("write decision: %w", err)
		}
		if value, ok := d[name].(string); ok {
			text = []byte(value)
		}
		if _, err := fmt.Fprintf(w, "%-16s %s\n", name, text); err != nil {
			return fmt.Errorf("write decision: %w", err)
		}
	}
	return nil
}

// fieldNames returns the names of the fields to write, in order.
func (d Decision) fieldNames() []string {
	var names []string
	for _, name := range leadingFields {
		if _, ok := d[name]; ok {
			names = append(names, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d)) {
		if !slices.Contains(leadingFields, name) && !slices.Contains(hiddenFields, name) {
			names = append(names, name)
		}
	}
	return names
}
