package inspector

import (
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"
)

// Row is the bundle version that one process reported to have in force.
type Row struct {
	Node          string    `json:"node"`
	Process       string    `json:"process"`
	Region        string    `json:"region"`
	BundleVersion uint64    `json:"bundle_version"`
	InForceSince  time.Time `json:"in_force_since"`
	AgeSeconds    float64   `json:"age_seconds"`
	// Behind is true if another process has a newer version in force.
	Behind bool `json:"behind"`
}

// UnresponsiveController is a controller whose status could not be retrieved.
type UnresponsiveController struct {
	Address netip.AddrPort `json:"address"`
	Reason  string         `json:"reason"`
}

// Report is the bundle state of all processes that could be queried.
type Report struct {
	// Newest is the highest bundle version in force on any process, 0 for none.
	Newest       uint64                   `json:"newest"`
	Rows         []Row                    `json:"rows"`
	Unresponsive []UnresponsiveController `json:"silent"`
}

// Uniform reports whether every controller responded and every process has the
// same bundle version in force.
func (r Report) Uniform() bool {
	if len(r.Unresponsive) > 0 || r.Newest == 0 {
		return false
	}
	for _, row := range r.Rows {
		if row.Behind {
			return false
		}
	}
	return true
}

// WriteTable writes the report as a human-readable table.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NODE\tPROCESS\tREGION\tBUNDLE\tIN FORCE SINCE\tAGE\tSTATE")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
			row.Node, row.Process, row.Region, row.BundleVersion, row.since(), row.age(), row.state())
	}
	for _, s := range r.Unresponsive {
		_, _ = fmt.Fprintf(table, "%s\tcontroller\t-\t-\t-\t-\tno answer: %s\n", s.Address, s.Reason)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func (row Row) since() string {
	if row.InForceSince.IsZero() {
		return "-"
	}
	return row.InForceSince.UTC().Format(time.RFC3339)
}

func (row Row) age() string {
	if row.InForceSince.IsZero() {
		return "-"
	}
	return (time.Duration(row.AgeSeconds) * time.Second).String()
}

func (row Row) state() string {
	switch {
	case row.BundleVersion == 0:
		return "no bundle"
	case row.Behind:
		return "behind"
	}
	return "newest"
}
