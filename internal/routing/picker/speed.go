package picker

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// speedStep is the ratio between two steps of the speeds by which homes are weighted and
// requests in flight are limited. It is larger than the changes that the hub publishes, so
// that a home does not move with each of them.
const speedStep = 1.25

// minOwnLimit is the lower bound of this VM's limit at a slow engine, unless the limit is
// lower anyway, so that the engine still gets requests from which its speed is learned.
const minOwnLimit = 2

// speed returns the speed of an upstream relative to the mean, 1 if it is not known.
func (q Query) speed(u *registrar.Upstream) float64 {
	if q.Speed == nil || q.Prompt == nil {
		return 1
	}
	if s := q.Speed(u); s > 0 && !math.IsInf(s, 1) {
		return s
	}
	return 1
}

// speedStepOf rounds a speed to a power of speedStep.
func speedStepOf(speed float64) float64 {
	if speed == 1 {
		return 1
	}
	return math.Pow(speedStep, math.Round(math.Log(speed)/math.Log(speedStep)))
}

// limitsAt returns the limits of an upstream: in proportion to its speed if it is slow. A fast
// one gets no more than usual, since its slots and memory are those of the others.
//
// Load: engines of speeds 0.6 to 1.6 under overload. With equal limits the slow ones hold
// requests for 2.7 times as long as the fast ones.
func (q Query) limitsAt(u *registrar.Upstream) Limits {
	limits := q.Limits(u)
	share := speedStepOf(q.speed(u))
	if share >= 1 {
		return limits
	}
	return Limits{
		Own: max(int(share*float64(limits.Own)), min(limits.Own, minOwnLimit)),
		All: max(int(share*float64(limits.All)), min(limits.All, minOwnLimit)),
	}
}

// atSpeed returns how long an engine of a speed takes for what takes an engine of speed 1 a
// time.
func atSpeed(d time.Duration, speed float64) time.Duration {
	if speed == 1 {
		return d
	}
	return time.Duration(float64(d) / speed)
}

// homeScore orders upstreams for weighted rendezvous hashing: each becomes the home of a share
// of all parts that is proportional to its weight, and a change of one weight moves only parts
// to or from that upstream.
type homeScore struct {
	score float64
	hash  uint64
}

func newHomeScore(part string, u *registrar.Upstream, weight float64) homeScore {
	hash := xxhash.Sum64String(part + "\x00" + u.ID)
	// The hash as a number between 0 and 1, both excluded.
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return homeScore{score: -weight / math.Log(uniform), hash: hash}
}

// above reports whether s is the higher score. Equal weights give the order of the hashes.
func (s homeScore) above(other homeScore) bool {
	if s.score == other.score {
		return s.hash > other.hash
	}
	return s.score > other.score
}

// Work returns the estimated time to the first event at an engine of speed 1, without that of
// the network: what the observed time is compared with to learn the speed. It is 0 for choices
// that tell little of it: those with a copy, and those behind more tokens than they have
// themselves. The queue is known late and has been prefilled in part; in the rehearser, samples
// behind long queues gave engines of equal speed factors of 0.8 to 1.25.
func (c Choice) Work() time.Duration {
	if c.Source != nil || c.Load.PromptTokens > c.PromptTokens {
		return 0
	}
	return time.Duration(c.Load.PromptTokens+c.PromptTokens) * prefillPerToken
}

// ServiceTime returns the part of the observed time to the first event that depends on the
// speed of the engine: without the network.
func (c Choice) ServiceTime(took time.Duration) time.Duration {
	return took - min(c.Costs.Distance, crossRegionCost)
}
