package keeper_test

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/platform/dialer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const defaultTimeout = 2 * time.Minute

// step is one call of a test row with its expected result.
type step struct {
	Do      string           `json:"do"`
	Key     string           `json:"key"`
	Value   string           `json:"value"`
	Size    int              `json:"size"`
	If      string           `json:"if"`
	Lease   string           `json:"lease"`
	TTL     checker.Duration `json:"ttl"`
	Timeout checker.Duration `json:"timeout"`
	As      string           `json:"as"`
	Want    string           `json:"want"`
	Keys    string           `json:"keys"`
	Faults  keeper.Faults    `json:"faults"`
	Calls   keeper.Calls     `json:"calls"`
}

type row struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

// result holds the return values of a call.
type result struct {
	entry storer.Entry
	keys  []string
	err   error
}

// contractFixture runs the steps of one test row against one store
// implementation.
type contractFixture struct {
	is             *is.I
	store          storer.Store
	setFaults      func(keeper.Faults)
	calls          func() keeper.Calls
	versions       map[string]storer.Version
	leases         map[string]uint64
	pendingWatches map[string]chan result
}

func TestStoreContract(t *testing.T) {
	t.Parallel()
	var rows []row
	scripter.Read(t, "testdata/contract.json", &rows)
	for _, r := range rows {
		t.Run("in memory/"+r.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := keeper.NewFaulty(keeper.New())
				run(t, r, &contractFixture{store: f, setFaults: f.Set, calls: f.Calls})
			})
		})
		t.Run("over http/"+r.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runOverHTTP(t, r) })
		})
	}
}

func runOverHTTP(t *testing.T, r row) {
	pipe := piper.NewClient(keeper.Handler(keeper.New()))
	defer pipe.Stop()
	d := dialer.New(dialer.Config{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: pipe.Client})
	control := controlClient{is: is.New(t), client: pipe.Client}
	run(t, r, &contractFixture{store: d, setFaults: control.set, calls: control.calls})
}

func run(t *testing.T, r row, b *contractFixture) {
	b.is = is.New(t)
	b.versions = map[string]storer.Version{"": {}}
	b.leases = map[string]uint64{"": 0}
	b.pendingWatches = make(map[string]chan result)
	for i, s := range r.Steps {
		if err := b.step(t.Context(), s); err != nil {
			t.Fatalf("step %d, %s: %v", i, s.Do, err)
		}
	}
}

func (b *contractFixture) step(ctx context.Context, s step) error {
	switch s.Do {
	case "advance":
		time.Sleep(s.TTL.Std())
		synctest.Wait()
		return nil
	case "faults":
		b.setFaults(s.Faults)
		synctest.Wait()
		return nil
	case "calls":
		return checkCalls(b.calls(), s.Calls)
	case "start":
		b.startWatch(ctx, s)
		return nil
	case "end":
		return checkResult(s, <-b.pendingWatches[s.As])
	}
	return checkResult(s, b.call(ctx, s))
}

// startWatch begins a watch in the background. The step "end" reads its result.
func (b *contractFixture) startWatch(ctx context.Context, s step) {
	done := make(chan result, 1)
	b.pendingWatches[s.As] = done
	s.Do = "watch"
	s.As = ""
	go func() { done <- b.call(ctx, s) }()
	synctest.Wait()
}

func (b *contractFixture) call(ctx context.Context, s step) result {
	timeout := s.Timeout.Std()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r result
	var lease storer.Lease
	switch s.Do {
	case "put":
		value := []byte(s.Value + strings.Repeat("x", s.Size))
		opts := storer.PutOptions{IfVersion: b.versions[s.If], LeaseID: b.leases[s.Lease]}
		var version storer.Version
		version, r.err = b.store.Put(ctx, s.Key, value, opts)
		r.entry.Revision = version.Revision
	case "get":
		r.entry, r.err = b.store.Get(ctx, s.Key)
	case "delete":
		r.err = b.store.Delete(ctx, s.Key, b.versions[s.If])
	case "list":
		var entries []storer.Entry
		entries, r.err = b.store.List(ctx, s.Key)
		for _, e := range entries {
			r.keys = append(r.keys, e.Key)
		}
	case "watch":
		r.entry, r.err = b.store.Watch(ctx, s.Key, b.versions[s.If])
	case "grant":
		lease, r.err = b.store.Grant(ctx, s.TTL.Std())
		b.leases[s.As] = lease.ID
	case "renew":
		_, r.err = b.store.Renew(ctx, storer.Lease{ID: b.leases[s.Lease]})
	case "revoke":
		r.err = b.store.Revoke(ctx, storer.Lease{ID: b.leases[s.Lease]})
	default:
		r.err = errors.New("unknown step " + s.Do)
	}
	if s.As != "" {
		b.versions[s.As] = r.entry.Version()
	}
	return r
}
