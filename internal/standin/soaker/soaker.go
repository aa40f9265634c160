// Package soaker runs gateways as separate processes, disturbs them, their links,
// the store and the upstreams according to a seeded plan, and checks their promises
// against what callers and upstreams saw.
package soaker

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Upstream is a stand-in for an upstream.
type Upstream struct {
	Name    string
	Handler http.Handler
	// SetLink is called with the link before the upstream, which refuses connections while
	// its process is down.
	SetLink func(*Link)
}

// Site is what surrounds the gateways, and the protocols that they speak.
type Site interface {
	// Store and Upstreams are served until the end of the soak.
	Store() http.Handler
	Upstreams() []Upstream
	// Open announces the upstreams at their addresses and publishes the first
	// configuration, which allows keys. The upstreams live until ctx ends.
	Open(ctx context.Context, addresses map[string]netip.AddrPort, keys []string)
	// Settings returns the settings file of a gateway. Variants differ.
	Settings(g *Gateway, variant int) []byte
	ReadyPath() string
	Bounds() Bounds
	StoreFaults() []string
	UpstreamFaults() []string
	// Routes lists the routes that callers choose from. It may name one several times.
	Routes() []string
	// Exchange sends a call and reads its response. It returns false if the
	// connection cannot be used for another call.
	Exchange(conn net.Conn, reader *bufio.Reader, c *Call) bool
	// Begin starts a step that concerns the store or an upstream. The function that
	// it returns ends the step.
	Begin(s Step) (end func())
	// HasNewestWeights reports whether all engines have the newest weights.
	HasNewestWeights() bool
	// Fill adds what the upstreams saw to a record.
	Fill(r *Record)
}

// Config configures a soak.
type Config struct {
	// Program is the path of the program of the gateways.
	Program  string
	Gateways int
	// CallersPerGateway is the number of callers for each gateway.
	CallersPerGateway int
	Seed              uint64
	// Length is the time in which steps are carried out.
	Length time.Duration
	// Crashes makes engines crash on certain calls for a part of the plan. Calm leaves out
	// all other steps.
	Crashes bool
	Calm    bool
	// Limits makes upstreams state limits.
	Limits bool
	// Breaks makes engines break streams and answer their next attempts wrongly.
	Breaks bool
	// Floods makes the organisation of FloodKey flood.
	Floods bool
	// Dir is the folder for settings, logs and the verdict.
	Dir  string
	Site Site
}

const (
	// revocableKeys is the number of keys that a plan may revoke.
	revocableKeys = 6
	// floodCallers is the number of callers for each gateway in a flood.
	floodCallers = 3
	// startTimeout is the time within which all gateways must be ready.
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// settledTime is the time in which calls must succeed after recovery.
	settledTime = 2 * time.Second
	// weightsTimeout is the time after the last step within which all engines must
	// have the newest weights.
	weightsTimeout = 12 * time.Second
)

// Keys of organisations: that of the usual calls, and that of the calls of a flood.
const (
	UsualKey = "kept"
	FloodKey = "flood"
)

// soak is one run.
type soak struct {
	Config
	journal  *Journal
	fleet    *fleet
	plan     []Step
	keys     []string
	variants map[string]int
	// flooding is true while an organisation floods.
	flooding atomic.Bool
	// endAt is when all gateways were ready after the last step.
	endAt time.Time
	// idle is the highest usage of a gateway before the first call.
	idle usage
}

// Soak runs a soak and returns its verdict. On a failure, the folder holds what is
// needed to trace it.
func Soak(ctx context.Context, cfg Config) (Verdict, error) {
	s := &soak{Config: cfg, journal: &Journal{}, variants: make(map[string]int), keys: []string{UsualKey}}
	for i := range revocableKeys {
		s.keys = append(s.keys, fmt.Sprintf("revocable-%d", i))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := newFleet(cfg, s.journal)
	if err != nil {
		return Verdict{}, err
	}
	s.fleet = fleet
	defer fleet.close()
	cfg.Site.Open(ctx, fleet.upstreams, append(slices.Clone(s.keys), FloodKey))
	s.plan = NewPlan(cfg.Seed, cfg.Length, Targets{
		Gateways: fleet.names(), Upstreams: fleet.upstreamNames(), Links: fleet.linkNames(),
		StoreFaults: cfg.Site.StoreFaults(), UpstreamFaults: cfg.Site.UpstreamFaults(), Keys: s.keys[1:],
		Crashes: cfg.Crashes, Calm: cfg.Calm, Limits: cfg.Limits, Breaks: cfg.Breaks, Floods: cfg.Floods,
	})
	if err := s.writeFile("plan.json", s.plan); err != nil {
		return Verdict{}, err
	}
	processes, err := s.startGateways(ctx)
	if err != nil {
		return Verdict{}, err
	}
	if err := s.play(ctx); err != nil {
		cancel()
		processes.Wait()
		return Verdict{}, err
	}
	s.checkProcesses(ctx)
	cancel()
	processes.Wait()
	return s.judge()
}

// startGateways starts the processes, which run until ctx ends.
func (s *soak) startGateways(ctx context.Context) (*sync.WaitGroup, error) {
	processes := &sync.WaitGroup{}
	for _, g := range s.fleet.gateways {
		if err := g.open(s.Dir); err != nil {
			return nil, err
		}
		if err := s.writeSettings(g); err != nil {
			return nil, err
		}
	}
	for _, g := range s.fleet.gateways {
		processes.Go(func() { g.run(ctx) })
		go g.runChecks(ctx, s.Site.ReadyPath())
	}
	return processes, nil
}

// play carries out the plan under load and waits until the system has recovered.
func (s *soak) play(ctx context.Context) error {
	if !poll(ctx, startTimeout, s.fleet.isReady) {
		return fmt.Errorf("start of gateways: not all are ready within %s", startTimeout)
	}
	s.countIdle(ctx)
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range s.Gateways * s.CallersPerGateway {
		c := &caller{
			name: fmt.Sprintf("c%d", i), gateways: s.fleet.gateways, site: s.Site, journal: s.journal, keys: s.keys, stubborn: i%2 == 0,
			random: rand.New(rand.NewPCG(s.Seed, uint64(i))), //nolint:gosec // Calls are drawn from the seed.
		}
		callers.Go(func() { c.run(callersCtx) })
	}
	for i := range s.Gateways * floodCallers {
		c := &caller{
			name: fmt.Sprintf("f%d", i), gateways: s.fleet.gateways, site: s.Site, journal: s.journal, keys: []string{FloodKey}, active: &s.flooding,
			random: rand.New(rand.NewPCG(s.Seed, floodSeed+uint64(i))), //nolint:gosec // Calls are drawn from the seed.
		}
		callers.Go(func() { c.run(callersCtx) })
	}
	s.carryOut(ctx)
	if !poll(ctx, startTimeout, s.fleet.isReady) && ctx.Err() == nil {
		s.journal.Violate(Violation{Promise: Recovery, Subject: "gateways", Detail: fmt.Sprintf("not all are ready %s after the last step", startTimeout)})
	}
	s.endAt = time.Now()
	sleep(ctx, s.Site.Bounds().Recover+settledTime)
	if !poll(ctx, time.Until(s.endAt.Add(weightsTimeout)), s.Site.HasNewestWeights) && ctx.Err() == nil {
		s.journal.Violate(Violation{Promise: NewerWeights, Subject: "engines", Detail: fmt.Sprintf("not all have the newest weights %s after the last step", weightsTimeout)})
	}
	stopCallers()
	callers.Wait()
	return ctx.Err()
}

// poll waits until a condition holds. It returns false after timeout.
func poll(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		sleep(ctx, pollInterval)
	}
	return true
}
