package chooser

import (
	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
)

var _ dispatcher.Pinner = (*Chooser)(nil)

// Pin implements dispatcher.Pinner. During a roll-out the version depends on the
// prefix family of j and on the share of ready engines that have each version.
// Engines in other regions count only if none in the router's region can serve j.
func (c *Chooser) Pin(j dispatcher.Job, excluded map[string]bool) string {
	if j.Model.PreviousWeightsVersion == "" {
		return j.Model.WeightsVersion
	}
	local, all := c.readyEngines(j.Bundle, j.Model, excluded)
	if len(planner.ServableVersions(j.Model, local)) == 0 {
		local = all
	}
	return planner.PinVersion(j.Model, local, familyHash(j))
}

// readyEngines returns the number of engines that can serve m by weights version,
// in the router's region and in all regions.
func (c *Chooser) readyEngines(b *checker.Bundle, m checker.Model, excluded map[string]bool) (local, all map[string]int) {
	local, all = make(map[string]int), make(map[string]int)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range b.Upstreams {
		report, known := c.reports[u.Name]
		if !known || report.Leaving || u.Kind != checker.Engine || excluded[u.Name] || !c.acceptsRequests(u.Name) {
			continue
		}
		for _, loaded := range report.Models {
			if loaded.Name != m.Name {
				continue
			}
			all[loaded.WeightsVersion]++
			if u.Region == c.cfg.Region {
				local[loaded.WeightsVersion]++
			}
		}
	}
	return local, all
}

// familyHash returns a hash of the prefix family of j that does not depend on the
// weights version. If the prompt is too short for a family, it is the hash of the
// request ID.
func familyHash(j dispatcher.Job) uint64 {
	scope := hasher.Scope{Organisation: j.Organisation.Name, Model: j.Model.Name}
	if hash, ok := hasher.Family(hasher.Chain(scope, j.Request.Text())); ok {
		return uint64(hash)
	}
	return xxhash.Sum64String(j.ID)
}
