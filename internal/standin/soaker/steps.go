package soaker

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// carryOut carries out the steps of the plan, each at its time, and returns when all
// have ended.
func (s *soak) carryOut(ctx context.Context) {
	start := time.Now()
	var steps sync.WaitGroup
	for _, step := range s.plan {
		sleep(ctx, time.Until(start.Add(step.Begin)))
		if ctx.Err() != nil {
			break
		}
		steps.Go(func() { s.carryOutStep(ctx, step) })
	}
	steps.Wait()
}

func (s *soak) carryOutStep(ctx context.Context, step Step) {
	note := s.journal.begin(step)
	end := s.begin(step)
	sleep(ctx, step.End-step.Begin)
	end()
	note()
}

// begin starts a step and returns the function that ends it.
func (s *soak) begin(step Step) (end func()) {
	g := s.fleet.gateway(step.Target)
	switch step.Kind {
	case Stop:
		g.end(syscall.SIGTERM, time.Now())
	case Kill:
		g.end(syscall.SIGKILL, time.Now().Add(step.End-step.Begin))
	case Freeze:
		signal := g.signal(syscall.SIGSTOP)
		return func() { signal(syscall.SIGCONT) }
	case Reload:
		if err := s.writeSettings(g); err != nil {
			s.journal.Violate(Violation{Promise: OwnEnd, Subject: g.Name, Detail: err.Error()})
		}
		g.signal(syscall.SIGHUP)
	case Disturb:
		link, effect := s.fleet.links[step.Target], Effect(step.Detail)
		link.Begin(effect)
		return func() { link.End(effect) }
	case Flood:
		s.flooding.Store(true)
		return func() { s.flooding.Store(false) }
	default:
		return s.Site.Begin(step)
	}
	return func() {}
}

// writeSettings writes the next variant of the settings of a gateway.
func (s *soak) writeSettings(g *Gateway) error {
	variant := s.variants[g.Name]
	s.variants[g.Name]++
	next := g.settings + ".next"
	if err := os.WriteFile(next, s.Site.Settings(g, variant), 0o600); err != nil {
		return fmt.Errorf("write settings of gateway %s: %w", g.Name, err)
	}
	if err := os.Rename(next, g.settings); err != nil {
		return fmt.Errorf("replace settings of gateway %s: %w", g.Name, err)
	}
	return nil
}
