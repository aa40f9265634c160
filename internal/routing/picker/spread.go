package picker

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// sendRateWindow is the time constant of the rate at which this VM sends work.
const sendRateWindow = 2 * time.Second

// sendRate is an exponentially decaying rate of work, in time of an upstream per time.
type sendRate struct {
	rate      float64
	updatedAt time.Time
}

// record adds work that was sent at now.
func (r *sendRate) record(now time.Time, work time.Duration) {
	r.rate = r.at(now) + float64(work)/float64(sendRateWindow)
	r.updatedAt = now
}

// at returns the rate as of now.
func (r *sendRate) at(now time.Time) float64 {
	return r.rate * math.Exp(-float64(now.Sub(r.updatedAt))/float64(sendRateWindow))
}

// work returns how long a request occupies the part of an upstream of speed 1 that others
// wait for.
func (c Choice) work(q Query) time.Duration {
	if q.Prompt == nil {
		return slowdownPerRequest
	}
	return time.Duration(c.PromptTokens)*prefillPerToken + slowdownPerRequest
}

// unseenWork returns the work that the other VMs are expected to have sent since the
// time of the loads that this VM knows. They are assumed to send as much as this one.
func (p *Picker) unseenWork(now time.Time, q Query) time.Duration {
	rate := p.sendRates[q.Prompt != nil]
	if rate == nil {
		return 0
	}
	return time.Duration(rate.at(now) * float64(q.OtherVMs) * float64(q.LoadAge))
}

// selectChoice returns one of the choices: the cheapest if little work is unseen. Else it
// assumes that the other VMs fill up the upstreams of the lowest cost to the same level,
// and returns each of those with a probability that is proportional to its distance from
// that level, and to its speed. So the VMs together send to each what it has room for.
//
// Upstreams that would read again what others hold, or what another one is about to read,
// are left out unless the cheapest would too.
//
// Load: hundreds of VMs that each see the loads of some hundred milliseconds ago. If each
// chooses the cheapest upstream, one that becomes idle gets all requests of that time.
func selectChoice(rng *rand.Rand, choices []Choice, unseen, own time.Duration) Choice {
	slices.SortStableFunc(choices, func(a, b Choice) int { return cmp.Compare(a.Costs.Total(), b.Costs.Total()) })
	if unseen <= own {
		return choices[0]
	}
	recompute := choices[0].Costs.Recompute
	choices = slices.DeleteFunc(choices, func(c Choice) bool { return c.Costs.Recompute > recompute })
	// sum and speeds are the costs, weighted by the speeds, and the speeds of the first n.
	sum, speeds, n := 0.0, 0.0, 0
	for n < len(choices) {
		cost, speed := float64(choices[n].Costs.Total()), choices[n].Speed
		if speeds*cost-sum >= float64(unseen) {
			break
		}
		sum += cost * speed
		speeds += speed
		n++
	}
	level := time.Duration((float64(unseen) + sum) / speeds)
	left := time.Duration(rng.Int64N(max(int64(unseen), 1)))
	for _, c := range choices[:n] {
		if left -= time.Duration(float64(level-c.Costs.Total()) * c.Speed); left < 0 {
			return c
		}
	}
	return choices[n-1]
}
