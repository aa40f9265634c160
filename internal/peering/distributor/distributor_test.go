package distributor

import (
	"crypto/ed25519"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// TestBundleThatComesIntoForceDuringHandshakeIsSent guards against a peer that gets its
// first bundle with the next periodic message, since the bundle came into force after
// its handshake and was announced before the connection was known.
func TestBundleThatComesIntoForceDuringHandshakeIsSent(t *testing.T) {
	t.Parallel()
	for _, role := range []messenger.Role{messenger.Router, messenger.Controller, messenger.Operator} {
		t.Run(string(role), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
			public, _ := key.Public().(ed25519.PublicKey)
			d := New(Config{
				Holder: holder.New(holder.Config{Verifier: signer.Verifier{Deployment: "demo", Keys: map[string]ed25519.PublicKey{"ops-1": public}}}),
				Log:    logrus.NewEntry(logrus.New()),
			})
			l := &Link{Peer: messenger.Hello{Role: role}, distributor: d, out: make(chan messenger.Message, sendQueueSize)}
			document, err := os.ReadFile("../../bundle/checker/testdata/bundle.json")
			is.NoErr(err)
			e := signer.Envelope{Document: document}
			e.Sign("ops-1", key)
			is.NoErr(d.holder.Offer(time.Now(), e))
			d.announceBundle()
			d.addLink(l)
			is.Equal(len(l.out) > 0, role != messenger.Operator)
		})
	}
}
