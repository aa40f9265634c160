package publisher_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// step is one action and its expected result. Between runs before write number At
// of a publish. Trust and HeadBy are the key IDs that the publisher and the reader
// of the head trust; key IDs default to ops-1.
type step struct {
	Publish       uint64          `json:"publish"`
	Weight        int             `json:"weight"`
	Pad           int             `json:"pad"`
	Key           string          `json:"key"`
	Trust         string          `json:"trust"`
	Faults        *keeper.Faults  `json:"faults"`
	At            int             `json:"at"`
	Between       *step           `json:"between"`
	PutHead       string          `json:"put_head"`
	DeleteHead    bool            `json:"delete_head"`
	History       *string         `json:"history"`
	Want          classifier.Kind `json:"want"`
	Says          string          `json:"says"`
	Head          *uint64         `json:"head"`
	HeadBy        string          `json:"head_by"`
	WeightInForce int             `json:"weight_in_force"`
}

// privateKey derives the key of a signer from its ID.
func privateKey(id string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(id))
	return ed25519.NewKeyFromSeed(seed[:])
}

func keyIDOrDefault(id string) string {
	if id == "" {
		return "ops-1"
	}
	return id
}

// fixture holds a store with fault injection and the document that steps publish.
type fixture struct {
	is       *is.I
	document []byte
	store    *keeper.Faulty
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	document, err := os.ReadFile("../checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	return &fixture{is: is.New(t), document: document, store: keeper.NewFaulty(keeper.New())}
}

func (f *fixture) publisher(store storer.Store, trusted string) *publisher.Publisher {
	public, _ := privateKey(trusted).Public().(ed25519.PublicKey)
	v := signer.Verifier{Deployment: "demo", Keys: map[string]ed25519.PublicKey{trusted: public}, Threshold: 1}
	return publisher.New(publisher.Config{Store: store, Verifier: v})
}

func (f *fixture) envelope(s step) signer.Envelope {
	version := fmt.Sprintf(`"version": %d`, s.Publish)
	document := bytes.Replace(f.document, []byte(`"version": 1`), []byte(version), 1)
	if s.Weight > 0 {
		weight := fmt.Sprintf(`"weight": %d`, s.Weight)
		document = bytes.Replace(document, []byte(`"weight": 2`), []byte(weight), 1)
	}
	document = append(document, bytes.Repeat([]byte(" "), s.Pad)...)
	e := signer.Envelope{Document: document}
	e.Sign(keyIDOrDefault(s.Key), privateKey(keyIDOrDefault(s.Key)))
	return e
}

// hookStore is a store that calls hook before its n-th write, n being the initial
// countdown.
type hookStore struct {
	storer.Store
	countdown int
	hook      func()
}

func (s *hookStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	s.countdown--
	if s.countdown == 0 {
		s.hook()
	}
	return s.Store.Put(ctx, key, value, opts)
}

func (f *fixture) run(ctx context.Context, s step) {
	switch {
	case s.PutHead != "" || s.DeleteHead:
		f.modifyHead(ctx, s)
	case s.History != nil:
		f.is.Equal(f.history(ctx), *s.History)
	case s.Publish > 0:
		f.publish(ctx, s)
	case s.Faults != nil:
		f.store.Set(*s.Faults)
	}
}

func (f *fixture) publish(ctx context.Context, s step) {
	if s.Faults != nil {
		f.store.Set(*s.Faults)
	}
	var store storer.Store = f.store
	if s.Between != nil {
		store = &hookStore{Store: f.store, countdown: s.At, hook: func() { f.run(ctx, *s.Between) }}
	}
	err := f.publisher(store, keyIDOrDefault(s.Trust)).Publish(ctx, f.envelope(s))
	f.store.Set(keeper.Faults{})
	if s.Want == "" {
		f.is.NoErr(err)
	} else {
		f.is.Equal(classifier.KindOf(err), s.Want)
		f.is.True(strings.Contains(err.Error(), s.Says)) // the error text contains says
	}
	if s.Head == nil {
		return
	}
	e, version, err := f.publisher(f.store, keyIDOrDefault(s.HeadBy)).Head(ctx)
	f.is.NoErr(err)
	f.is.Equal(version, *s.Head)
	if s.WeightInForce > 0 {
		f.is.True(bytes.Contains(e.Document, fmt.Appendf(nil, `"weight": %d`, s.WeightInForce)))
	}
}

// modifyHead overwrites or deletes the head.
func (f *fixture) modifyHead(ctx context.Context, s step) {
	key := publisher.HeadKey("demo")
	entry, err := f.store.Get(ctx, key)
	f.is.NoErr(err)
	if s.DeleteHead {
		f.is.NoErr(f.store.Delete(ctx, key, entry.Version()))
		return
	}
	_, err = f.store.Put(ctx, key, []byte(s.PutHead), storer.PutOptions{IfVersion: entry.Version()})
	f.is.NoErr(err)
}

// history returns the claimed versions, newest first. A "!" marks those that fail
// verification.
func (f *fixture) history(ctx context.Context) string {
	records, err := f.publisher(f.store, "ops-1").History(ctx, 10)
	f.is.NoErr(err)
	parts := make([]string, 0, len(records))
	for _, r := range records {
		mark := ""
		if r.Err != nil {
			mark = "!"
		}
		parts = append(parts, fmt.Sprintf("%d%s", r.Version, mark))
	}
	return strings.Join(parts, " ")
}

func TestPublish(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/rows.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for _, s := range row.Steps {
				f.run(t.Context(), s)
			}
		})
	}
}

func TestConcurrentPublishersNeverShareVersion(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	const operators, versions = 8, 6
	var mu sync.Mutex
	publishCounts := make(map[uint64]int)
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			p := f.publisher(f.store, "ops-1")
			for version := range uint64(versions) {
				s := step{Publish: version + 1, Weight: 10 + operator}
				if p.Publish(t.Context(), f.envelope(s)) == nil {
					mu.Lock()
					publishCounts[s.Publish]++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	for version, n := range publishCounts {
		if n > 1 {
			t.Errorf("version %d was published by %d operators", version, n)
		}
	}
	f.is.True(len(publishCounts) > 0)
}
