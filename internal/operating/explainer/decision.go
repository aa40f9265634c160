package explainer

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Decision is one routing decision with the fields of its log line.
type Decision map[string]any

// RequestID returns the request that the decision was taken for.
func (d Decision) RequestID() string {
	id, _ := d["request_id"].(string)
	return id
}

// firstFields are written before the others, in this order.
var firstFields = []string{"time", "node", "request_id", "attempt", "organisation", "model", "service", "policy", "chosen", "reason"}

// hiddenFields say nothing of the decision itself.
var hiddenFields = []string{"event", "level", "msg", "process"}

// Write writes the decision for a person, a field a line.
func (d Decision) Write(w io.Writer) error {
	for _, name := range d.fields() {
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

// fields returns the names of the fields in the order of writing.
func (d Decision) fields() []string {
	var names []string
	for _, name := range firstFields {
		if _, ok := d[name]; ok {
			names = append(names, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d)) {
		if !slices.Contains(firstFields, name) && !slices.Contains(hiddenFields, name) {
			names = append(names, name)
		}
	}
	return names
}
