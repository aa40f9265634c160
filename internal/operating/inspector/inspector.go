// Package inspector queries controllers for the bundle version in force on them
// and on the routers connected to them.
package inspector

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// responseTimeout limits the time to connect to a controller and receive its
// status.
const responseTimeout = 3 * time.Second

// Config configures an Inspector.
type Config struct {
	// Hello identifies the inspector to controllers. A controller of another
	// deployment is reported as unresponsive.
	Hello messenger.Hello
	// Addresses are the peer addresses of the controllers to query.
	Addresses []netip.AddrPort
	Client    *http.Client
}

// Inspector queries controllers for their status.
type Inspector struct {
	cfg Config
}

// New returns an Inspector.
func New(cfg Config) *Inspector {
	return &Inspector{cfg: cfg}
}

// Inspect queries all controllers concurrently and merges their responses into
// one report. Ages are relative to now.
func (i *Inspector) Inspect(ctx context.Context, now time.Time) Report {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
		r  Report
	)
	for _, address := range i.cfg.Addresses {
		wg.Go(func() {
			nodes, err := i.requestStatus(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.Unresponsive = append(r.Unresponsive, UnresponsiveController{Address: address, Reason: err.Error()})
				return
			}
			r.Rows = append(r.Rows, newRows(nodes, now)...)
		})
	}
	wg.Wait()
	r.sortAndMark()
	return r
}

// requestStatus returns the status of a controller and of the routers connected
// to it.
func (i *Inspector) requestStatus(ctx context.Context, address netip.AddrPort) ([]messenger.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	conn, err := messenger.Dial(ctx, i.cfg.Client, "http://"+address.String())
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	hello := i.cfg.Hello
	if err := conn.Write(ctx, messenger.Message{Hello: &hello}); err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, messenger.Message{StatusRequest: &messenger.StatusRequest{}}); err != nil {
		return nil, err
	}
	for {
		m, err := conn.Read(ctx)
		if err != nil {
			return nil, err
		}
		if m.Hello != nil && m.Hello.Deployment != hello.Deployment {
			return nil, classifier.New(classifier.PeerRefused, "controller belongs to deployment %s", m.Hello.Deployment)
		}
		if m.Status != nil {
			return m.Status.Nodes, nil
		}
	}
}

// newRows converts the status of nodes to rows of a report.
func newRows(nodes []messenger.NodeStatus, now time.Time) []Row {
	rows := make([]Row, 0, len(nodes))
	for _, n := range nodes {
		row := Row{
			Node:          n.Node,
			Process:       string(n.Role),
			Region:        n.Region,
			BundleVersion: n.BundleVersion,
			InForceSince:  n.Since,
		}
		if !n.Since.IsZero() {
			row.AgeSeconds = now.Sub(n.Since).Seconds()
		}
		rows = append(rows, row)
	}
	return rows
}

// sortAndMark sorts the rows, keeps only the row with the highest bundle version
// of each process, and marks the processes that are behind.
func (r *Report) sortAndMark() {
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Node, b.Node),
			cmp.Compare(a.Process, b.Process),
			cmp.Compare(b.BundleVersion, a.BundleVersion),
		)
	})
	r.Rows = slices.CompactFunc(r.Rows, func(a, b Row) bool {
		return a.Node == b.Node && a.Process == b.Process
	})
	slices.SortFunc(r.Unresponsive, func(a, b UnresponsiveController) int { return a.Address.Compare(b.Address) })
	for _, row := range r.Rows {
		r.Newest = max(r.Newest, row.BundleVersion)
	}
	for i := range r.Rows {
		r.Rows[i].Behind = r.Rows[i].BundleVersion < r.Newest
	}
}
