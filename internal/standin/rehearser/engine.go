package rehearser

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// crossRegionCopyFactor is the ratio of the copy durations between and within
// regions.
const crossRegionCopyFactor = 10

// engine models an engine that prefills prompts sequentially and caches shared
// parts with least-recently-used eviction.
type engine struct {
	region int
	cfg    *Engines
	number int
	// prefillUntil is the time when all queued prefills end.
	prefillUntil time.Duration
	// downUntil is the time when the engine is available again after a crash.
	downUntil    time.Duration
	cache        *simplelru.LRU[string, int]
	cachedTokens int
	// incarnation counts crashes. Results of requests that were sent in an earlier
	// incarnation are discarded.
	incarnation int
	statement   statement
	// limit is nil for an engine that has stated none.
	limit *engineLimit
}

func newEngine(cfg *Engines, number int) (*engine, error) {
	e := &engine{region: number % cfg.Regions, number: number, cfg: cfg, statement: newStatement()}
	// addToCache bounds the cache by tokens. The limit on entries given here is
	// high enough never to matter, since a part has at least one token.
	cache, err := simplelru.NewLRU(max(cfg.CacheTokens, 1), func(_ string, tokens int) { e.cachedTokens -= tokens })
	if err != nil {
		return nil, err
	}
	e.cache = cache
	return e, nil
}

// cachedTokensOf returns the number of cached tokens of a subject's shared part.
func (e *engine) cachedTokensOf(subject string) int {
	tokens, _ := e.cache.Peek(subject)
	return tokens
}

// prefill queues the prefill of a request. It returns the time of the first token
// and the number of tokens to prefill.
func (e *engine) prefill(now time.Duration, a arrival, copyTime time.Duration) (firstToken time.Duration, prefillTokens int) {
	prefillTokens = a.ownTokens
	if a.kind.SharedTokens > 0 && e.cachedTokensOf(a.subject) == 0 && copyTime == 0 {
		prefillTokens += a.kind.SharedTokens
	}
	e.addToCache(a.subject, a.kind.SharedTokens)
	start := max(now+copyTime, e.prefillUntil)
	e.prefillUntil = start + time.Duration(float64(prefillTokens)/(e.cfg.PrefillTokensPerMS*e.speed(now))*float64(time.Millisecond))
	return e.prefillUntil + e.decodeStep(now), prefillTokens
}

func (e *engine) decodeStep(now time.Duration) time.Duration {
	return time.Duration(e.cfg.StepMS / e.speed(now) * float64(time.Millisecond))
}

// speed returns the speed of the engine at a time.
func (e *engine) speed(now time.Duration) float64 {
	speed := e.cfg.speedOf(e.number)
	for _, s := range e.cfg.Slowdowns {
		if s.Engine == e.number && now >= millis(s.AtMS) && now < millis(s.AtMS+s.ForMS) {
			speed *= s.Factor
		}
	}
	return speed
}

// speedOf returns the usual speed of an engine.
func (e *Engines) speedOf(number int) float64 {
	if len(e.Speeds) == 0 {
		return 1
	}
	return e.Speeds[number/e.Regions%len(e.Speeds)]
}

// totalSpeed returns the sum of the usual speeds, lowest that of the slowest engine and
// highest that of the fastest.
func (e *Engines) totalSpeed() (total, lowest, highest float64) {
	lowest = e.speedOf(0)
	for n := range e.Count {
		speed := e.speedOf(n)
		total += speed
		lowest, highest = min(lowest, speed), max(highest, speed)
	}
	return total, lowest, highest
}

func (e *engine) addToCache(subject string, tokens int) {
	if tokens == 0 || tokens > e.cfg.CacheTokens {
		return
	}
	if _, ok := e.cache.Get(subject); ok {
		return
	}
	e.cache.Add(subject, tokens)
	e.cachedTokens += tokens
	for e.cachedTokens > e.cfg.CacheTokens {
		e.cache.RemoveOldest()
	}
}

// copyDuration returns the time to copy cached tokens from another engine.
func (e *engine) copyDuration(from *engine, tokens int) time.Duration {
	duration := time.Duration(float64(tokens) / e.cfg.CopyTokensPerMS * float64(time.Millisecond))
	if from.region != e.region {
		duration *= crossRegionCopyFactor
	}
	return duration
}

// crash empties the cache and makes the engine unavailable until a time.
func (e *engine) crash(until time.Duration) {
	e.cache.Purge()
	e.prefillUntil, e.downUntil = until, until
	e.incarnation++
}
