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

// step is one action with what must come of it.
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

func keyOf(id string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(id))
	return ed25519.NewKeyFromSeed(seed[:])
}

func orDefault(id string) string {
	if id == "" {
		return "ops-1"
	}
	return id
}

// bench is a store with faults and the document that steps publish.
type bench struct {
	is       *is.I
	document []byte
	store    *keeper.Faulty
}

func newBench(t *testing.T) *bench {
	t.Helper()
	document, err := os.ReadFile("../checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	return &bench{is: is.New(t), document: document, store: keeper.NewFaulty(keeper.New())}
}

func (b *bench) publisher(store storer.Store, trusted string) *publisher.Publisher {
	public, _ := keyOf(trusted).Public().(ed25519.PublicKey)
	v := signer.Verifier{Deployment: "demo", Keys: map[string]ed25519.PublicKey{trusted: public}, Threshold: 1}
	return publisher.New(publisher.Config{Store: store, Verifier: v})
}

func (b *bench) envelope(s step) signer.Envelope {
	version := fmt.Sprintf(`"version": %d`, s.Publish)
	document := bytes.Replace(b.document, []byte(`"version": 1`), []byte(version), 1)
	if s.Weight > 0 {
		weight := fmt.Sprintf(`"weight": %d`, s.Weight)
		document = bytes.Replace(document, []byte(`"weight": 2`), []byte(weight), 1)
	}
	document = append(document, bytes.Repeat([]byte(" "), s.Pad)...)
	e := signer.Envelope{Document: document}
	e.Sign(orDefault(s.Key), keyOf(orDefault(s.Key)))
	return e
}

// paused is a store that runs something before one of its writes.
type paused struct {
	storer.Store
	at     int
	before func()
}

func (p *paused) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (uint64, error) {
	p.at--
	if p.at == 0 {
		p.before()
	}
	return p.Store.Put(ctx, key, value, opts)
}

func (b *bench) run(ctx context.Context, s step) {
	switch {
	case s.PutHead != "" || s.DeleteHead:
		b.spoil(ctx, s)
	case s.History != nil:
		b.is.Equal(b.history(ctx), *s.History)
	case s.Publish > 0:
		b.publish(ctx, s)
	case s.Faults != nil:
		b.store.Set(*s.Faults)
	}
}

func (b *bench) publish(ctx context.Context, s step) {
	if s.Faults != nil {
		b.store.Set(*s.Faults)
	}
	var store storer.Store = b.store
	if s.Between != nil {
		store = &paused{Store: b.store, at: s.At, before: func() { b.run(ctx, *s.Between) }}
	}
	err := b.publisher(store, orDefault(s.Trust)).Publish(ctx, b.envelope(s))
	b.store.Set(keeper.Faults{})
	if s.Want == "" {
		b.is.NoErr(err)
	} else {
		b.is.Equal(classifier.KindOf(err), s.Want)
		b.is.True(strings.Contains(err.Error(), s.Says)) // the error says what to do
	}
	if s.Head == nil {
		return
	}
	e, version, err := b.publisher(b.store, orDefault(s.HeadBy)).Head(ctx)
	b.is.NoErr(err)
	b.is.Equal(version, *s.Head)
	if s.WeightInForce > 0 {
		b.is.True(bytes.Contains(e.Document, fmt.Appendf(nil, `"weight": %d`, s.WeightInForce)))
	}
}

func (b *bench) spoil(ctx context.Context, s step) {
	key := publisher.HeadKey("demo")
	entry, err := b.store.Get(ctx, key)
	b.is.NoErr(err)
	if s.DeleteHead {
		b.is.NoErr(b.store.Delete(ctx, key, entry.Revision))
		return
	}
	_, err = b.store.Put(ctx, key, []byte(s.PutHead), storer.PutOptions{IfRevision: entry.Revision})
	b.is.NoErr(err)
}

// history lists the versions, with a mark on those that are not accepted.
func (b *bench) history(ctx context.Context) string {
	records, err := b.publisher(b.store, "ops-1").History(ctx, 10)
	b.is.NoErr(err)
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
			b := newBench(t)
			for _, s := range row.Steps {
				b.run(t.Context(), s)
			}
		})
	}
}

func TestRacingOperatorsNeverShareAVersion(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	const operators, versions = 8, 6
	var mu sync.Mutex
	winners := make(map[uint64]int)
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			p := b.publisher(b.store, "ops-1")
			for version := range uint64(versions) {
				s := step{Publish: version + 1, Weight: 10 + operator}
				if p.Publish(t.Context(), b.envelope(s)) == nil {
					mu.Lock()
					winners[s.Publish]++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	for version, n := range winners {
		if n > 1 {
			t.Errorf("version %d was published by %d operators", version, n)
		}
	}
	b.is.True(len(winners) > 0)
}
