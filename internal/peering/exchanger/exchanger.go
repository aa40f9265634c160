// Package exchanger lets a VM that the platform's store turns away learn from
// other VMs what they know of the store's content.
package exchanger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// Path is where a VM answers the others.
const Path = "/v1/replicas"

const (
	// silence is how long the store may be silent before others are asked; a
	// waiting watch answers sooner.
	silence = 2500 * time.Millisecond
	// askEvery is the time between two questions while the store is silent.
	askEvery = 400 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = time.Second
	// maxMessageBytes bounds one message; a configuration with hundreds of
	// routes is the largest part.
	maxMessageBytes = 8 << 20
)

// Ask names the revisions that a VM has.
type Ask struct {
	Revisions map[string]uint64 `cbor:"1,keyasint"`
}

// Answer holds what is newer.
type Answer struct {
	Replicas []informer.Replica `cbor:"1,keyasint"`
}

// Directory is what a VM knows of the store's content.
type Directory interface {
	StoreUnresponsiveSince(since time.Time) bool
	Revisions() map[string]uint64
	NewerReplicas(revisions map[string]uint64) []informer.Replica
	ApplyReplica(now time.Time, r informer.Replica)
}

// Config holds what an Exchanger is built from.
type Config struct {
	Directory Directory
	// Peers returns the addresses of the other VMs.
	Peers  func() []netip.AddrPort
	Client *http.Client
	Log    *logrus.Entry
}

// Exchanger asks other VMs and answers them.
type Exchanger struct {
	cfg Config
}

// New returns an Exchanger.
func New(cfg Config) *Exchanger { return &Exchanger{cfg: cfg} }

// Run asks other VMs while the store is silent, until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if e.cfg.Directory.StoreUnresponsiveSince(now.Add(-silence)) {
				e.askOne(ctx)
			}
		}
	}
}

// askOne asks another VM at random.
func (e *Exchanger) askOne(ctx context.Context) {
	peers := e.cfg.Peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := e.ask(ctx, peer)
	if err != nil {
		e.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "peer_silent", "peer": peer.String()}).Debug("another VM did not answer")
		return
	}
	for _, r := range answer.Replicas {
		e.cfg.Directory.ApplyReplica(time.Now(), r)
	}
}

func (e *Exchanger) ask(ctx context.Context, peer netip.AddrPort) (Answer, error) {
	ws, err := messenger.DialSocket(ctx, e.cfg.Client, "ws://"+peer.String()+Path, maxMessageBytes)
	if err != nil {
		return Answer{}, fmt.Errorf("dial peer: %w", err)
	}
	defer func() { _ = ws.CloseNow() }()
	if err := messenger.WriteValue(ctx, ws, Ask{Revisions: e.cfg.Directory.Revisions()}); err != nil {
		return Answer{}, err
	}
	var answer Answer
	return answer, messenger.ReadValue(ctx, ws, &answer)
}

// ServeHTTP answers another VM.
func (e *Exchanger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	var ask Ask
	if err := messenger.ReadValue(ctx, ws, &ask); err != nil {
		return // the other VM has gone
	}
	if err := messenger.WriteValue(ctx, ws, Answer{Replicas: e.cfg.Directory.NewerReplicas(ask.Revisions)}); err != nil {
		return
	}
	_ = ws.Close(websocket.StatusNormalClosure, "")
}

// Others returns addresses without the own one and without repeats.
func Others(own netip.AddrPort, addresses []netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for _, a := range addresses {
		if a != own && !slices.Contains(others, a) {
			others = append(others, a)
		}
	}
	return others
}
