// Package exchanger copies replicas of the platform's store between VMs, for VMs that
// the store does not serve.
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"math"
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

// Path is the HTTP path at which a VM accepts requests of other VMs.
const Path = "/v1/replicas"

const (
	// storeTimeout is the time without a response of the store after which other VMs
	// are asked. It is longer than the store takes to respond to a long poll.
	storeTimeout = 2500 * time.Millisecond
	// requestInterval is the time between two requests while the store is silent.
	requestInterval = 400 * time.Millisecond
	// requestTimeout bounds one exchange, dialling included.
	requestTimeout = time.Second
	// maxMessageBytes bounds one message; its largest part is a configuration, which
	// may have hundreds of routes.
	maxMessageBytes = 8 << 20
)

// Request holds the versions of the sender's replicas, by prefix.
type Request struct {
	Revisions map[string]uint64 `cbor:"1,keyasint"`
	// Eras holds the eras of Revisions that are above 0.
	Eras map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// Response holds the replicas that are newer than the requested versions.
type Response struct {
	Replicas []informer.Replica `cbor:"1,keyasint"`
	// WeightsAges holds the ages of desired versions if there are replicas.
	WeightsAges []informer.WeightsAge `cbor:"2,keyasint,omitempty"`
	// ContactMillis is the time in milliseconds since the store last confirmed the
	// sender's entries of operators, or 0 if that is unknown.
	ContactMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Check returns an error for a response that no VM sends.
func (r Response) Check() error {
	for _, a := range r.WeightsAges {
		if err := a.Check(); err != nil {
			return err
		}
	}
	if r.ContactMillis < 0 || r.ContactMillis > math.MaxInt64/int64(time.Millisecond) {
		return errors.New("response: contact age is out of range")
	}
	return nil
}

// Replicas holds a VM's replicas of the store, one for each prefix.
type Replicas interface {
	// StoreUnresponsiveSince reports whether the store has not responded for a prefix since a time.
	StoreUnresponsiveSince(since time.Time) bool
	// Versions returns the version of each replica.
	Versions() informer.Versions
	// NewerReplicas returns the replicas that are newer than the given versions.
	NewerReplicas(versions informer.Versions) []informer.Replica
	// ApplyReplica applies a replica of another VM if it is newer.
	ApplyReplica(now time.Time, r informer.Replica)
	// WeightsAges returns the ages of the desired versions, and RecordWeightsAges
	// records those that another VM sends along with its replicas.
	WeightsAges(now time.Time) []informer.WeightsAge
	RecordWeightsAges(now time.Time, ages []informer.WeightsAge)
	// ContactAge returns the time since the store last confirmed the operators' entries,
	// if it has, and RecordPeerContact records that of another VM; from unserved on, the
	// store does not serve that VM.
	ContactAge(now time.Time) (age time.Duration, known bool)
	RecordPeerContact(now time.Time, age, unserved time.Duration)
}

// Config configures an Exchanger.
type Config struct {
	Replicas Replicas
	// Peers returns the addresses of the other VMs.
	Peers  func() []netip.AddrPort
	Client *http.Client
	Log    *logrus.Entry
}

// Exchanger requests replicas from other VMs and serves their requests.
type Exchanger struct {
	cfg Config
}

// New returns an Exchanger.
func New(cfg Config) *Exchanger { return &Exchanger{cfg: cfg} }

// Run requests replicas from other VMs while the store is silent, until ctx is done.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if e.cfg.Replicas.StoreUnresponsiveSince(now.Add(-storeTimeout)) {
				e.requestFromRandomPeer(ctx)
			}
		}
	}
}

// requestFromRandomPeer applies the newer replicas of another VM, chosen at random.
func (e *Exchanger) requestFromRandomPeer(ctx context.Context) {
	peers := e.cfg.Peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := e.request(ctx, peer)
	if err != nil {
		e.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "peer_silent", "peer": peer.String()}).Debug("failed to request replicas from another VM")
		return
	}
	e.apply(time.Now(), response)
}

func (e *Exchanger) apply(now time.Time, response Response) {
	e.cfg.Replicas.RecordWeightsAges(now, response.WeightsAges)
	for _, r := range response.Replicas {
		e.cfg.Replicas.ApplyReplica(now, r)
	}
	if response.ContactMillis > 0 {
		e.cfg.Replicas.RecordPeerContact(now, time.Duration(response.ContactMillis)*time.Millisecond, storeTimeout)
	}
}

func (e *Exchanger) request(ctx context.Context, peer netip.AddrPort) (Response, error) {
	ws, err := messenger.DialWebSocket(ctx, e.cfg.Client, "ws://"+peer.String()+Path, maxMessageBytes)
	if err != nil {
		return Response{}, fmt.Errorf("dial peer: %w", err)
	}
	defer func() { _ = ws.CloseNow() }()
	revisions, eras := e.cfg.Replicas.Versions().Split()
	if err := messenger.WriteValue(ctx, ws, Request{Revisions: revisions, Eras: eras}); err != nil {
		return Response{}, err
	}
	var response Response
	if err := messenger.ReadValue(ctx, ws, &response); err != nil {
		return Response{}, err
	}
	return response, response.Check()
}

// ServeHTTP serves one request of another VM.
func (e *Exchanger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the error response
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	var request Request
	if err := messenger.ReadValue(ctx, ws, &request); err != nil {
		return // the other VM has closed the connection
	}
	if err := messenger.WriteValue(ctx, ws, e.respond(time.Now(), request)); err != nil {
		return
	}
	_ = ws.Close(websocket.StatusNormalClosure, "")
}

func (e *Exchanger) respond(now time.Time, request Request) Response {
	response := Response{Replicas: e.cfg.Replicas.NewerReplicas(informer.JoinVersions(request.Revisions, request.Eras))}
	if age, known := e.cfg.Replicas.ContactAge(now); known {
		response.ContactMillis = max(age.Milliseconds(), 1)
	}
	if len(response.Replicas) > 0 {
		response.WeightsAges = e.cfg.Replicas.WeightsAges(now)
	}
	return response
}

// OtherAddresses returns addresses without the own one and without duplicates.
func OtherAddresses(own netip.AddrPort, addresses []netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for _, a := range addresses {
		if a != own && !slices.Contains(others, a) {
			others = append(others, a)
		}
	}
	return others
}
