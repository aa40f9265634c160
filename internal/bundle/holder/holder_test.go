package holder_test

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// offer is a signed bundle with optional faults and the expected result. Edit
// replaces the deployment before signing and Swap the signing key; Find and Replace
// modify the document after signing.
type offer struct {
	Name    string   `json:"name"`
	Version uint64   `json:"version"`
	Signers []string `json:"signers"`
	Edit    string   `json:"edit"`
	Swap    string   `json:"swap"`
	// Revised adds a line to the document before signing.
	Revised bool            `json:"revised"`
	Find    string          `json:"find"`
	Replace string          `json:"replace"`
	Want    classifier.Kind `json:"want"`
	InForce uint64          `json:"in_force"`
}

// privateKey derives the key of a signer from its ID. An ID with the suffix "b"
// has the same key as the ID without it.
func privateKey(id string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(strings.TrimSuffix(id, "b")))
	return ed25519.NewKeyFromSeed(seed[:])
}

func (o offer) envelope(document []byte) signer.Envelope {
	version := fmt.Sprintf(`"version": %d`, o.Version)
	document = bytes.Replace(document, []byte(`"version": 1`), []byte(version), 1)
	if o.Edit != "" {
		document = bytes.Replace(document, []byte(`"demo"`), []byte(`"`+o.Edit+`"`), 1)
	}
	if o.Revised {
		document = append(bytes.Clone(document), '\n')
	}
	e := signer.Envelope{Document: document}
	for _, id := range o.Signers {
		key := privateKey(id)
		if o.Swap != "" {
			key = privateKey(o.Swap)
		}
		e.Sign(id, key)
	}
	e.Document = bytes.Replace(e.Document, []byte(o.Find), []byte(o.Replace), 1)
	return e
}

func newHolder() *holder.Holder {
	v := signer.Verifier{Deployment: "demo", Keys: make(map[string]ed25519.PublicKey), Threshold: 2}
	for _, id := range []string{"ops-1", "ops-1b", "ops-2"} {
		v.Keys[id], _ = privateKey(id).Public().(ed25519.PublicKey)
	}
	return holder.New(holder.Config{Verifier: v})
}

func readOffers(t *testing.T) ([]offer, []byte) {
	t.Helper()
	is := is.New(t)
	document, err := os.ReadFile("../checker/testdata/bundle.json")
	is.NoErr(err)
	var offers []offer
	scripter.Read(t, "testdata/offers.json", &offers)
	return offers, document
}

func TestOfferAcceptsOnlyNewerVerifiedBundles(t *testing.T) {
	t.Parallel()
	offers, document := readOffers(t)
	for _, o := range offers {
		t.Run(o.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			h := newHolder()
			first := offer{Version: 5, Signers: []string{"ops-1", "ops-2"}}
			is.NoErr(h.Offer(now, first.envelope(document)))
			changed := h.Changed()
			err := h.Offer(now.Add(time.Second), o.envelope(document))
			is.Equal(h.Version(), o.InForce)
			if o.Want != "" {
				is.Equal(classifier.KindOf(err), o.Want)
				is.Equal(h.Current().Since, now) // the bundle in force was not replaced
				return
			}
			is.NoErr(err)
			<-changed
		})
	}
}

func TestVersionNeverDecreasesDuringConcurrentOffers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, document := readOffers(t)
	h := newHolder()
	const highest = 40
	var wg sync.WaitGroup
	for version := range uint64(highest) {
		o := offer{Version: version + 1, Signers: []string{"ops-1", "ops-2"}}
		e := o.envelope(document)
		wg.Go(func() {
			before := h.Version()
			_ = h.Offer(time.Now(), e)
			if h.Version() < max(before, o.Version) {
				t.Errorf("got a version below %d", max(before, o.Version))
			}
		})
	}
	wg.Wait()
	is.Equal(h.Version(), uint64(highest))
}
