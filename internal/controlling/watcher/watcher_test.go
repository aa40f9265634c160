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

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/controlling/watcher"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type step struct {
	Do      string           `json:"do"`
	Version uint64           `json:"version"`
	Alter   string           `json:"alter"`
	Faults  keeper.Faults    `json:"faults"`
	Within  checker.Duration `json:"within"`
	Below   uint64           `json:"below"`
}

// swap is a store that can be replaced, with watches that can end at once.
type swap struct {
	storer.Store
	current atomic.Pointer[keeper.Faulty]
	hasty   atomic.Bool
	// bundles counts the reads of whole bundles since the last look.
	bundles atomic.Uint64
}

func (s *swap) Get(ctx context.Context, key string) (storer.Entry, error) {
	if key != publisher.HeadKey("demo") {
		s.bundles.Add(1)
	}
	return s.current.Load().Get(ctx, key)
}

func (s *swap) Watch(ctx context.Context, key string, after uint64) (storer.Entry, error) {
	if s.hasty.Load() {
		return storer.Entry{}, storer.ErrNotChanged
	}
	return s.current.Load().Watch(ctx, key, after)
}

// bench is one node with its store.
type bench struct {
	is       *is.I
	document []byte
	key      ed25519.PrivateKey
	verifier signer.Verifier
	inner    *keeper.Keeper
	faulty   *keeper.Faulty
	store    *swap
	holder   *holder.Holder
	stop     context.CancelFunc
	seen     keeper.Calls
}

func newBench(t *testing.T, document []byte) *bench {
	b := &bench{is: is.New(t), document: document, key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
	public, _ := b.key.Public().(ed25519.PublicKey)
	b.verifier = signer.Verifier{Deployment: "demo", Keys: map[string]ed25519.PublicKey{"ops-1": public}, Threshold: 1}
	b.inner = keeper.New()
	b.faulty = keeper.NewFaulty(b.inner)
	b.store = &swap{}
	b.store.current.Store(b.faulty)
	b.start(t.Context())
	return b
}

func (*bench) log() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func (b *bench) start(ctx context.Context) {
	b.holder = holder.New(holder.Config{Verifier: b.verifier})
	ctx, b.stop = context.WithCancel(ctx)
	w := watcher.New(watcher.Config{
		Store:      b.store,
		Deployment: "demo",
		Holder:     b.holder,
		Log:        b.log(),
	})
	go w.Run(ctx)
}

func (b *bench) envelope(s step) signer.Envelope {
	version := fmt.Sprintf(`"version": %d`, s.Version)
	e := signer.Envelope{Document: bytes.Replace(b.document, []byte(`"version": 1`), []byte(version), 1)}
	switch s.Alter {
	case "unsigned":
	case "tampered":
		e.Sign("ops-1", b.key)
		e.Document = append(e.Document, ' ')
	case "garbage":
		e.Sign("ops-1", b.key)
		e.Document = []byte("{")
	default:
		e.Sign("ops-1", b.key)
	}
	return e
}

// force writes a key whatever it held.
func (b *bench) force(ctx context.Context, key string, value any) {
	data, err := json.Marshal(value)
	b.is.NoErr(err)
	entry, _ := b.inner.Get(ctx, key)
	_, err = b.inner.Put(ctx, key, data, storer.PutOptions{IfRevision: entry.Revision})
	b.is.NoErr(err)
}

func (b *bench) run(ctx context.Context, s step) error {
	switch s.Do {
	case "publish":
		p := publisher.New(publisher.Config{Store: b.inner, Verifier: b.verifier})
		return p.Publish(ctx, b.envelope(s))
	case "raw":
		b.force(ctx, publisher.VersionKey("demo", s.Version), b.envelope(s))
		b.force(ctx, publisher.HeadKey("demo"), publisher.Pointer{Version: s.Version})
	case "point":
		b.force(ctx, publisher.HeadKey("demo"), publisher.Pointer{Version: s.Version})
	case "peer":
		_ = b.holder.Offer(time.Now(), b.envelope(s))
	case "faults":
		b.faulty.Set(s.Faults)
	case "restart":
		b.stop()
		b.start(ctx)
	case "replace":
		b.inner = keeper.New()
		b.faulty = keeper.NewFaulty(b.inner)
		b.store.current.Store(b.faulty)
	case "hasty":
		b.store.hasty.Store(true)
	case "delete":
		entry, err := b.inner.Get(ctx, publisher.HeadKey("demo"))
		b.is.NoErr(err)
		b.is.NoErr(b.inner.Delete(ctx, entry.Key, entry.Revision))
	default:
		return b.verify(s)
	}
	synctest.Wait()
	return nil
}

// verify lets time pass or looks at what happened in it.
func (b *bench) verify(s step) error {
	switch s.Do {
	case "expect":
		b.seen = b.faulty.Calls()
		b.store.bundles.Store(0)
		time.Sleep(s.Within.Std())
		if got := b.holder.Version(); got != s.Version {
			return fmt.Errorf("got version %d, want %d", got, s.Version)
		}
	case "calls":
		now := b.faulty.Calls()
		if made := now.Reads + now.Watches - b.seen.Reads - b.seen.Watches; made >= s.Below {
			return fmt.Errorf("made %d calls, want below %d", made, s.Below)
		}
	case "bundles":
		if read := b.store.bundles.Load(); read >= s.Below {
			return fmt.Errorf("read %d bundles, want below %d", read, s.Below)
		}
	default:
		return fmt.Errorf("unknown step")
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
				b := newBench(t, document)
				defer func() { b.stop() }()
				for i, s := range row.Steps {
					if err := b.run(t.Context(), s); err != nil {
						t.Fatalf("step %d, %s: %v", i, s.Do, err)
					}
				}
			})
		})
	}
}
