package chooser

import (
	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
)

var _ dispatcher.Pinner = (*Chooser)(nil)

// Pin returns the one weights version that j is served with. During a roll-out
// its prefix family decides by the share of ready engines.
func (c *Chooser) Pin(j dispatcher.Job, excluded map[string]bool) string {
	if j.Model.PreviousWeightsVersion == "" {
		return j.Model.WeightsVersion
	}
	near, all := c.ready(j.Bundle, j.Model, excluded)
	if len(planner.ServableVersions(j.Model, near)) == 0 {
		near = all
	}
	return planner.PinVersion(j.Model, near, family(j))
}

// ready counts the engines of each version of m that may serve, in the own
// region and in all.
func (c *Chooser) ready(b *checker.Bundle, m checker.Model, excluded map[string]bool) (near, all map[string]int) {
	near, all = make(map[string]int), make(map[string]int)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range b.Upstreams {
		report, known := c.reports[u.Name]
		if !known || report.Leaving || u.Kind != checker.Engine || excluded[u.Name] || !c.mayServe(u.Name) {
			continue
		}
		for _, loaded := range report.Models {
			if loaded.Name != m.Name {
				continue
			}
			all[loaded.WeightsVersion]++
			if u.Region == c.cfg.Region {
				near[loaded.WeightsVersion]++
			}
		}
	}
	return near, all
}

// family names the prefix family of j whatever its weights version. A prompt
// that is too short for one is a family of its own.
func family(j dispatcher.Job) uint64 {
	scope := hasher.Scope{Organisation: j.Organisation.Name, Model: j.Model.Name}
	if hash, ok := hasher.Family(hasher.Chain(scope, j.Request.Text())); ok {
		return uint64(hash)
	}
	return xxhash.Sum64String(j.ID)
}
