// Package inspector asks controllers which bundle is in force on them and on
// the routers that are connected to them.
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

// answerTimeout bounds the wait for one controller.
const answerTimeout = 3 * time.Second

// Config holds what an Inspector is built from.
type Config struct {
	Hello messenger.Hello
	// Addresses are the controllers to ask.
	Addresses []netip.AddrPort
	Client    *http.Client
}

// Inspector asks every controller once.
type Inspector struct {
	cfg Config
}

// New returns an Inspector.
func New(cfg Config) *Inspector {
	return &Inspector{cfg: cfg}
}

// Inspect asks all controllers side by side and returns one report.
func (i *Inspector) Inspect(ctx context.Context, now time.Time) Report {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
		r  Report
	)
	for _, address := range i.cfg.Addresses {
		wg.Go(func() {
			nodes, err := i.ask(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.Silent = append(r.Silent, Silence{Address: address, Reason: err.Error()})
				return
			}
			r.Rows = append(r.Rows, newRows(nodes, now)...)
		})
	}
	wg.Wait()
	r.finish()
	return r
}

func (i *Inspector) ask(ctx context.Context, address netip.AddrPort) ([]messenger.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
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
			return nil, classifier.New(classifier.PeerRefused, "controller of deployment %s", m.Hello.Deployment)
		}
		if m.Status != nil {
			return m.Status.Nodes, nil
		}
	}
}

// newRows returns the rows of one answer.
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

// finish orders the rows, drops repeated ones and marks those behind.
func (r *Report) finish() {
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
	slices.SortFunc(r.Silent, func(a, b Silence) int { return a.Address.Compare(b.Address) })
	for _, row := range r.Rows {
		r.Newest = max(r.Newest, row.BundleVersion)
	}
	for i := range r.Rows {
		r.Rows[i].Behind = r.Rows[i].BundleVersion < r.Newest
	}
}
