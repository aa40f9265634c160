package coordinator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/routing/gauger"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/routing/withholder"
)

const (
	// reportInterval is the time between two reports while the loads change.
	// minReportInterval applies to urgent reports, of long prompts: the prefill of one
	// occupies an engine for several times that long.
	reportInterval    = 60 * time.Millisecond
	minReportInterval = 10 * time.Millisecond
	// connectTimeout bounds dialling the hub.
	connectTimeout = time.Second
	// reconnectDelay is the minimum delay, without jitter, before the same hub is dialled
	// again.
	reconnectDelay = 150 * time.Millisecond
	// hubPollInterval is how often a VM without a connection checks for another hub; no
	// longer than the interval of a hub's messages.
	hubPollInterval = minPushInterval
)

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	Node string
	// Hub returns the address of the hub, or false if none is known.
	Hub func() (netip.AddrPort, bool)
	// Loads returns the load that this VM puts on each upstream.
	Loads func() map[string]Load
	// DrainSentParts returns and clears the prompt parts that were sent to
	// upstreams since the last call.
	DrainSentParts func() []CachedPart
	// Departures returns the incarnations of upstreams that have told this VM that they
	// are leaving, and OnDepartures is called with those that have told another. Both
	// may be nil.
	Departures   func() []withholder.Incarnation
	OnDepartures func([]withholder.Incarnation)
	// Quarantines reports what bears on quarantines and applies the hub's decisions; nil
	// for none.
	Quarantines Quarantines
	// Limits keeps the limits that upstreams state; nil for none.
	Limits Limits
	// Quotas keeps the quotas of organisations; nil for none.
	Quotas Quotas
	// DrainSpeeds returns and clears the samples of the speeds of engines since the last
	// call; nil for none.
	DrainSpeeds func() []gauger.Sample
	// UrgentReports signals that the loads should be reported before the next interval.
	UrgentReports <-chan struct{}
	View          *View
	Client        *http.Client
	Log           *logrus.Entry
}

// Quarantines is a VM's part in quarantines.
type Quarantines interface {
	// Snapshot returns the events that another hub needs, and the number of the last one.
	Snapshot() ([]quarantiner.Event, uint64)
	// Events returns the events after a number, and the number of the last one.
	Events(after uint64) ([]quarantiner.Event, uint64)
	// Apply applies decisions of the hub; they are all of them if full is set.
	Apply(full bool, rows []quarantiner.Row)
}

// Subscriber maintains the connection of a VM to the hub.
type Subscriber struct {
	cfg SubscriberConfig
}

// NewSubscriber returns a Subscriber; Run connects it.
func NewSubscriber(cfg SubscriberConfig) *Subscriber { return &Subscriber{cfg: cfg} }

// Run connects, and reconnects, until ctx is done. The same hub is dialled again after
// a delay with jitter, another one at once.
func (s *Subscriber) Run(ctx context.Context) {
	var lastHub netip.AddrPort
	var retryAt time.Time
	for ctx.Err() == nil {
		if hub, ok := s.cfg.Hub(); ok && (hub != lastHub || !time.Now().Before(retryAt)) {
			err := s.subscribe(ctx, hub)
			if s.cfg.Quotas != nil {
				s.cfg.Quotas.EndHub()
			}
			s.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "hub_lost", "hub": hub.String()}).Info("connection to hub ended")
			lastHub, retryAt = hub, time.Now().Add(reconnectDelay+rand.N(reconnectDelay))
		}
		pauser.Pause(ctx, hubPollInterval)
	}
}

// subscribe connects to the hub, sends reports and applies the received states until
// the connection ends.
func (s *Subscriber) subscribe(ctx context.Context, hub netip.AddrPort) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, connectTimeout)
	defer cancelDial()
	ws, err := messenger.DialWebSocket(dialCtx, s.cfg.Client, "ws://"+hub.String()+Path, maxMessageBytes)
	if err != nil {
		return fmt.Errorf("dial hub: %w", err)
	}
	defer func() { _ = ws.CloseNow() }()
	s.cfg.Log.WithFields(logrus.Fields{"event": "hub_found", "hub": hub.String()}).Info("connected to hub")
	sent := &sentReports{interval: reportInterval}
	// The events for the hub are collected before its first state is applied.
	go s.runReports(ctx, cancel, ws, hub, sent, newEvidenceQueue(s.cfg.Quarantines))
	for {
		var state State
		var head Head
		if err := messenger.ReadSequence(ctx, ws, &head, &state); err != nil {
			return err
		}
		if err := head.Check(); err != nil {
			return err
		}
		sent.setInterval(time.Duration(state.ReportMillis) * time.Millisecond)
		loads, reportedAt := sent.confirm(head.Report)
		if err := s.cfg.View.Apply(time.Now(), state, loads); err != nil {
			return err
		}
		if s.cfg.Limits != nil {
			s.cfg.Limits.ApplyLimits(limitReports(time.Now(), state.Limits), throttlerGrants(head.Grants), reportedAt)
		}
		if s.cfg.Quotas != nil {
			states, grants := throttlerQuotas(state.Quotas, head.Quotas)
			s.cfg.Quotas.ApplyQuotas(states, grants, reportedAt)
		}
		if s.cfg.OnDepartures != nil {
			s.cfg.OnDepartures(incarnations(state.Departures))
		}
		if s.cfg.Quarantines != nil {
			s.cfg.Quarantines.Apply(state.Full, quarantineRows(time.Now(), state.Quarantines))
		}
	}
}

// runReports sends reports until the connection fails or another VM is the hub. It
// calls cancel when it returns.
func (s *Subscriber) runReports(ctx context.Context, cancel context.CancelFunc, ws *websocket.Conn, hub netip.AddrPort, reports *sentReports, evidence *evidenceQueue) {
	defer cancel()
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	var last map[string]Load
	var lastDepartures []Departure
	keepAliveAt := time.Time{}
	for {
		now := time.Now()
		if current, ok := s.cfg.Hub(); !ok || current != hub {
			return
		}
		loads, sent := s.cfg.Loads(), s.cfg.DrainSentParts()
		departures := s.departures()
		changed := !slices.Equal(departures, lastDepartures)
		events := evidence.next()
		limits, alone := s.limitReports(now, reports.isFirst())
		quotas, aloneInQuotas := s.quotaReports()
		speeds := s.speedSamples()
		if changed || len(events)+len(limits)+len(quotas)+len(speeds)+len(sent) > 0 || !maps.Equal(loads, last) || !now.Before(keepAliveAt) {
			report := Report{Node: s.cfg.Node, Loads: loads, SentParts: sent, Number: reports.add(time.Now(), loads), Evidence: newEvidence(now, events), Limits: limits, Alone: alone || aloneInQuotas, Quotas: quotas, Speeds: speeds}
			if changed {
				report.Departures = departures
			}
			if err := messenger.WriteValue(ctx, ws, report); err != nil {
				return
			}
			last, lastDepartures, keepAliveAt = loads, departures, now.Add(keepAliveInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.cfg.UrgentReports:
			time.Sleep(max(time.Until(now.Add(minReportInterval)), 0))
		}
		timer.Reset(reports.nextInterval())
	}
}

func (s *Subscriber) limitReports(now time.Time, all bool) (limits []Limit, alone bool) {
	if s.cfg.Limits == nil {
		return nil, false
	}
	list, alone := s.cfg.Limits.LimitReports(all)
	return newLimits(now, list), alone
}

func (s *Subscriber) quotaReports() (uses []QuotaUse, alone bool) {
	if s.cfg.Quotas == nil {
		return nil, false
	}
	list, alone := s.cfg.Quotas.QuotaReports()
	return newQuotaUses(list), alone
}

func (s *Subscriber) speedSamples() []SpeedSample {
	if s.cfg.DrainSpeeds == nil {
		return nil
	}
	return newSpeedSamples(s.cfg.DrainSpeeds())
}

func (s *Subscriber) departures() []Departure {
	if s.cfg.Departures == nil {
		return nil
	}
	return newDepartures(s.cfg.Departures())
}
