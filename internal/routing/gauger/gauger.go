package gauger

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minChange is the change of a factor from which on it is published: a tenth.
	minChange = 1.1
	// minFactor and maxFactor bound the published factors.
	minFactor = 0.25
	maxFactor = 4.0
	// UpdateInterval is the time between two evaluations of all factors.
	UpdateInterval = 250 * time.Millisecond
)

// Factor is the speed of an engine relative to the mean of its service.
type Factor struct {
	Upstream string
	Factor   float64
}

// Gauger estimates the speeds of engines. It is not safe for concurrent use.
type Gauger struct {
	engines map[string]*estimate
	// means holds the mean ratio of the engines of each service as of the last update.
	means    map[string]float64
	updateAt time.Time
}

// New returns a Gauger that knows no engine.
func New() *Gauger {
	return &Gauger{engines: make(map[string]*estimate), means: make(map[string]float64)}
}

// Observe adds a sum of samples of an engine.
func (g *Gauger) Observe(now time.Time, s Sample) {
	if !s.Valid() {
		return
	}
	e, known := g.engines[s.Upstream]
	if !known {
		if len(g.engines) >= maxUpstreams {
			return
		}
		e = &estimate{startedMillis: s.StartedMillis, updatedAt: now, published: 1}
		g.engines[s.Upstream] = e
	}
	e.service = s.Service
	e.age(now)
	e.observe(s)
}

// ObserveOne adds the sample of one prompt, unless it is too short.
func (g *Gauger) ObserveOne(now time.Time, s Sample) {
	if s.Expected >= MinExpected && s.Observed > 0 {
		g.Observe(now, s.bounded())
	}
}

// Factor returns the latest published factor of an engine, 1 if it is unknown.
func (g *Gauger) Factor(upstream string) float64 {
	if e, ok := g.engines[upstream]; ok {
		return e.published
	}
	return 1
}

// Factors returns the published factors other than 1, ordered by upstream.
func (g *Gauger) Factors() []Factor {
	var list []Factor
	for upstream, e := range g.engines {
		if e.published != 1 {
			list = append(list, Factor{upstream, e.published})
		}
	}
	slices.SortFunc(list, compareFactors)
	return list
}

// Update evaluates the factors, at most once per UpdateInterval, and returns those that
// have changed by more than a tenth, ordered by upstream. Engines without recent samples
// are forgotten; their factor becomes 1.
func (g *Gauger) Update(now time.Time) []Factor {
	if now.Before(g.updateAt) {
		return nil
	}
	g.updateAt = now.Add(UpdateInterval)
	for _, e := range g.engines {
		e.age(now)
	}
	g.updateMeans()
	var changed []Factor
	for upstream, e := range g.engines {
		factor := e.factor(g.means[e.service])
		if e.weight < minWeight {
			delete(g.engines, upstream)
			factor = 1
		}
		change := max(factor/e.published, e.published/factor)
		if change > minChange || factor == 1 && change > 1 {
			e.published = factor
			changed = append(changed, Factor{upstream, factor})
		}
	}
	slices.SortFunc(changed, compareFactors)
	return changed
}

// updateMeans computes the mean ratio of each service. An engine counts by how much is known
// of it, but not by its requests: fast engines get more of them.
func (g *Gauger) updateMeans() {
	sums, weights := make(map[string]float64), make(map[string]float64)
	for _, e := range g.engines {
		if e.weight < minWeight {
			continue
		}
		share := e.weight / (e.weight + priorWeight)
		sums[e.service] += share * e.sum / e.weight
		weights[e.service] += share
	}
	clear(g.means)
	for service, sum := range sums {
		g.means[service] = sum / weights[service]
	}
}

func compareFactors(a, b Factor) int { return cmp.Compare(a.Upstream, b.Upstream) }
