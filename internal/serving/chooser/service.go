package chooser

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// ChooseService implements dispatcher.Chooser.
func (c *Chooser) ChooseService(_ context.Context, j dispatcher.ServiceJob, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	u, reason, ok := c.services.next(j.Bundle, j.Service, c.cfg.Region, func(name string) bool { return !excluded[name] && c.acceptsRequests(name) })
	c.cfg.Log.WithFields(logrus.Fields{
		"event":          "route",
		"request_id":     j.ID,
		"attempt":        attempt,
		"organisation":   j.Organisation.Name,
		"service":        j.Service.Name,
		"bundle_version": j.Bundle.Version,
		"policy":         "round_robin",
		"chosen":         u.Name,
		"reason":         reason,
		"idempotent":     j.Service.Idempotent(j.Method, j.Path),
	}).Info("routing decision")
	if !ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		return dispatcher.Choice{}, c.noCandidate(time.Now(), "service "+j.Service.Name, j.Service.Upstreams, func(string) bool { return true },
			classifier.New(classifier.NoUpstream, "no upstream of service %s is left", j.Service.Name))
	}
	return dispatcher.Choice{
		RequestID: j.ID,
		Attempt:   attempt,
		Target:    caller.Target{Name: u.Name, Address: u.Address},
	}, nil
}
