package watcher_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/controlling/watcher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type step struct {
	Do      string `json:"do"`
	Version uint64 `json:"version"`
	// Alter makes the bundle invalid: unsigned, tampered or garbage; or revised, a valid
	// one with another document.
	Alter  string        `json:"alter"`
	Faults keeper.Faults `json:"faults"`
	// Within is the time until the expected version is checked.
	Within checker.Duration `json:"within"`
	// Limit is the exclusive upper bound of the calls or bundle reads during the
	// last expect step.
	Limit uint64 `json:"below"`
	// Count is the expected number of logged conflicts since the start.
	Count int `json:"count"`
}

// replaceableStore is a store whose service can be replaced and whose watches can be
// made to return immediately.
type replaceableStore struct {
	storer.Store
	current atomic.Pointer[keeper.Faulty]
	// endWatches makes each watch return immediately without a change.
	endWatches atomic.Bool
	// bundleReads counts the reads of bundles since the last expect step.
	bundleReads atomic.Uint64
}

func (s *replaceableStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if key != publisher.HeadKey("demo") {
		s.bundleReads.Add(1)
	}
	return s.current.Load().Get(ctx, key)
}

func (s *replaceableStore) Watch(ctx context.Context, key string, after storer.Version) (storer.Entry, error) {
	if s.endWatches.Load() {
		return storer.Entry{}, storer.ErrNotChanged
	}
	return s.current.Load().Watch(ctx, key, after)
}

// testNode is a node with a watcher, a holder and a store.
type testNode struct {
	is       *is.I
	document []byte
	key      ed25519.PrivateKey
	verifier signer.Verifier
	// service is the key-value service behind faulty, for access without faults.
	service *keeper.Keeper
	faulty  *keeper.Faulty
	store   *replaceableStore
	holder  *holder.Holder
	stop    context.CancelFunc
	// warnings receives the log lines of level warning.
	warnings *logtest.Hook
	// callsBefore holds the numbers of calls at the start of the last expect step.
	callsBefore keeper.Calls
}

func newTestNode(t *testing.T, document []byte) *testNode {
	n := &testNode{is: is.New(t), document: document, key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
	public, _ := n.key.Public().(ed25519.PublicKey)
	n.verifier = signer.Verifier{Deployment: "demo", Keys: map[string]ed25519.PublicKey{"ops-1": public}, Threshold: 1}
	n.service = keeper.New()
	n.faulty = keeper.NewFaulty(n.service)
	n.store = &replaceableStore{}
	n.store.current.Store(n.faulty)
	n.start(t.Context())
	return n
}

func (n *testNode) log() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.WarnLevel)
	n.warnings = logtest.NewLocal(log)
	return logrus.NewEntry(log)
}

// start starts the watcher with a holder without a bundle.
func (n *testNode) start(ctx context.Context) {
	n.holder = holder.New(holder.Config{Verifier: n.verifier})
	ctx, n.stop = context.WithCancel(ctx)
	w := watcher.New(watcher.Config{
		Store:      n.store,
		Deployment: "demo",
		Holder:     n.holder,
		Log:        n.log(),
	})
	go w.Run(ctx)
}

// envelope returns the signed bundle of a step, altered as the step says.
func (n *testNode) envelope(s step) signer.Envelope {
	version := fmt.Sprintf(`"version": %d`, s.Version)
	e := signer.Envelope{Document: bytes.Replace(n.document, []byte(`"version": 1`), []byte(version), 1)}
	switch s.Alter {
	case "revised":
		e.Document = append(e.Document, '\n')
		e.Sign("ops-1", n.key)
	case "unsigned":
	case "tampered":
		e.Sign("ops-1", n.key)
		e.Document = append(e.Document, ' ')
	case "garbage":
		e.Sign("ops-1", n.key)
		e.Document = []byte("{")
	default:
		e.Sign("ops-1", n.key)
	}
	return e
}

// overwrite writes a key regardless of its revision.
func (n *testNode) overwrite(ctx context.Context, key string, value any) {
	data, err := json.Marshal(value)
	n.is.NoErr(err)
	entry, _ := n.service.Get(ctx, key)
	_, err = n.service.Put(ctx, key, data, storer.PutOptions{IfVersion: entry.Version()})
	n.is.NoErr(err)
}

// runStep performs the action or the check of a step.
func (n *testNode) runStep(ctx context.Context, s step) error {
	switch s.Do {
	case "publish":
		p := publisher.New(publisher.Config{Store: n.service, Verifier: n.verifier})
		return p.Publish(ctx, n.envelope(s))
	case "overwrite":
		e := n.envelope(s)
		n.overwrite(ctx, publisher.VersionKey("demo", s.Version), e)
		n.overwrite(ctx, publisher.HeadKey("demo"), publisher.Pointer{Version: s.Version, DocumentSHA256: e.DocumentSHA256()})
	case "set_head":
		n.overwrite(ctx, publisher.HeadKey("demo"), publisher.Pointer{Version: s.Version})
	case "offer_from_peer":
		_ = n.holder.Offer(time.Now(), n.envelope(s))
	case "set_faults":
		n.faulty.Set(s.Faults)
	case "restart":
		n.stop()
		n.start(ctx)
	case "replace_store":
		n.service = keeper.New()
		n.faulty = keeper.NewFaulty(n.service)
		n.store.current.Store(n.faulty)
	case "end_watches":
		n.store.endWatches.Store(true)
	case "delete_head":
		entry, err := n.service.Get(ctx, publisher.HeadKey("demo"))
		n.is.NoErr(err)
		n.is.NoErr(n.service.Delete(ctx, entry.Key, entry.Version()))
	default:
		return n.checkStep(s)
	}
	synctest.Wait()
	return nil
}

// checkStep waits and checks the version in force, or checks the numbers of calls or
// bundle reads during the last expect step.
func (n *testNode) checkStep(s step) error {
	switch s.Do {
	case "expect":
		n.callsBefore = n.faulty.Calls()
		n.store.bundleReads.Store(0)
		time.Sleep(s.Within.Std())
		if got := n.holder.Version(); got != s.Version {
			return fmt.Errorf("got version %d in force, want %d", got, s.Version)
		}
	case "calls":
		now := n.faulty.Calls()
		if calls := now.Reads + now.Watches - n.callsBefore.Reads - n.callsBefore.Watches; calls >= s.Limit {
			return fmt.Errorf("got %d read and watch calls, want fewer than %d", calls, s.Limit)
		}
	case "conflicts":
		conflicts := 0
		for _, entry := range n.warnings.AllEntries() {
			if entry.Data["kind"] == classifier.BundleConflict {
				conflicts++
			}
		}
		if conflicts != s.Count {
			return fmt.Errorf("got %d logged conflicts, want %d", conflicts, s.Count)
		}
	case "bundle_reads":
		if reads := n.store.bundleReads.Load(); reads >= s.Limit {
			return fmt.Errorf("got %d bundle reads, want fewer than %d", reads, s.Limit)
		}
	default:
		return fmt.Errorf("unknown action")
	}
	return nil
}

func TestBundleOfTheStoreComesIntoForce(t *testing.T) {
	t.Parallel()
	document, err := os.ReadFile("../../bundle/checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	var rows []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/rows.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := newTestNode(t, document)
				defer func() { n.stop() }()
				for i, s := range row.Steps {
					if err := n.runStep(t.Context(), s); err != nil {
						t.Fatalf("step %d, %s: %v", i, s.Do, err)
					}
				}
			})
		})
	}
}
