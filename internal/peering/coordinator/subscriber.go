package coordinator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// reportEvery is the time between two reports of loads that change, and
	// reportLeast the least time between two when long prompts are sent: an
	// engine is held up by one for several times that long.
	reportEvery = 60 * time.Millisecond
	reportLeast = 10 * time.Millisecond
	// aliveEvery is how often an unchanged load is reported again.
	aliveEvery = 600 * time.Millisecond
	// connectTimeout bounds the way to the hub.
	connectTimeout = time.Second
	// reconnectAfter is the wait after a connection that ended, lookEvery how often
	// a VM without a hub looks whether there is another: as often as a hub tells
	// what is new.
	reconnectAfter = 150 * time.Millisecond
	lookEvery      = pushEvery
)

// SubscriberConfig holds what a Subscriber is built from.
type SubscriberConfig struct {
	Node string
	// Hub returns the address of the hub, false while none is known.
	Hub func() (netip.AddrPort, bool)
	// Loads returns what this VM has in flight.
	Loads func() map[string]Load
	// Sent returns the parts that were sent to be read since the last call.
	Sent func() []Cached
	// Urgent tells of loads that the others should hear of at once.
	Urgent <-chan struct{}
	View   *View
	Client *http.Client
	Log    *logrus.Entry
}

// Subscriber keeps a VM's connection to the hub.
type Subscriber struct {
	cfg SubscriberConfig
}

// NewSubscriber returns a Subscriber.
func NewSubscriber(cfg SubscriberConfig) *Subscriber { return &Subscriber{cfg: cfg} }

// Run stays connected until ctx ends. A hub that could not be reached is tried
// again after a while, another one at once.
func (s *Subscriber) Run(ctx context.Context) {
	var tried netip.AddrPort
	var againAt time.Time
	for ctx.Err() == nil {
		if hub, ok := s.cfg.Hub(); ok && (hub != tried || !time.Now().Before(againAt)) {
			err := s.stay(ctx, hub)
			s.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "hub_lost", "hub": hub.String()}).Info("connection to the hub ended")
			tried, againAt = hub, time.Now().Add(reconnectAfter+rand.N(reconnectAfter))
		}
		pauser.Pause(ctx, lookEvery)
	}
}

// stay exchanges messages with the hub until the connection ends.
func (s *Subscriber) stay(ctx context.Context, hub netip.AddrPort) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limited, done := context.WithTimeout(ctx, connectTimeout)
	defer done()
	ws, err := messenger.DialSocket(limited, s.cfg.Client, "ws://"+hub.String()+Path, maxMessageBytes)
	if err != nil {
		return fmt.Errorf("dial hub: %w", err)
	}
	defer func() { _ = ws.CloseNow() }()
	s.cfg.Log.WithFields(logrus.Fields{"event": "hub_found", "hub": hub.String()}).Info("connected to the hub")
	go s.runReports(ctx, cancel, ws, hub)
	for {
		var state State
		if err := messenger.ReadValue(ctx, ws, &state); err != nil {
			return err
		}
		s.cfg.View.Take(time.Now(), state)
	}
}

// runReports tells the hub the loads of this VM.
func (s *Subscriber) runReports(ctx context.Context, cancel context.CancelFunc, ws *websocket.Conn, hub netip.AddrPort) {
	defer cancel()
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var last map[string]Load
	aliveAt := time.Time{}
	for {
		now := time.Now()
		if current, ok := s.cfg.Hub(); !ok || current != hub {
			return
		}
		loads, sent := s.cfg.Loads(), s.cfg.Sent()
		if !maps.Equal(loads, last) || len(sent) > 0 || !now.Before(aliveAt) {
			if err := messenger.WriteValue(ctx, ws, Report{Node: s.cfg.Node, Loads: loads, Sent: sent}); err != nil {
				return
			}
			last, aliveAt = loads, now.Add(aliveEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.cfg.Urgent:
			time.Sleep(max(time.Until(now.Add(reportLeast)), 0))
		}
	}
}
