package rehearser

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// copyFactor is by how much copies take longer between regions.
const copyFactor = 10

// engine reads prompts one after the other and keeps shared parts, the least
// recently used first out.
type engine struct {
	region   int
	cfg      *Engines
	readTill time.Duration
	// downTill is when it is back after a crash.
	downTill time.Duration
	kept     *simplelru.LRU[string, int]
	tokens   int
	// incarnation tells work of before a crash.
	incarnation int
}

func newEngine(cfg *Engines, region int) (*engine, error) {
	e := &engine{region: region, cfg: cfg}
	// The number of parts does not bound the cache, their tokens do.
	kept, err := simplelru.NewLRU(max(cfg.Kept, 1), func(_ string, tokens int) { e.tokens -= tokens })
	if err != nil {
		return nil, err
	}
	e.kept = kept
	return e, nil
}

// holds returns how much of a subject's shared part it keeps.
func (e *engine) holds(subject string) int {
	tokens, _ := e.kept.Peek(subject)
	return tokens
}

// read puts a request behind the others and returns when its first token comes,
// with what had to be read.
func (e *engine) read(now time.Duration, a arrival, copied time.Duration) (first time.Duration, read int) {
	read = a.own
	if a.kind.Shared > 0 && e.holds(a.subject) == 0 && copied == 0 {
		read += a.kind.Shared
	}
	e.keep(a.subject, a.kind.Shared)
	begin := max(now+copied, e.readTill)
	e.readTill = begin + time.Duration(float64(read)/e.cfg.ReadPerMS*float64(time.Millisecond))
	return e.readTill + e.step(), read
}

func (e *engine) step() time.Duration {
	return time.Duration(e.cfg.StepMS * float64(time.Millisecond))
}

func (e *engine) keep(subject string, tokens int) {
	if tokens == 0 || tokens > e.cfg.Kept {
		return
	}
	if _, ok := e.kept.Get(subject); ok {
		return
	}
	e.kept.Add(subject, tokens)
	e.tokens += tokens
	for e.tokens > e.cfg.Kept {
		e.kept.RemoveOldest()
	}
}

// copying is how long a copy of tokens takes on the way from another engine.
func (e *engine) copying(from *engine, tokens int) time.Duration {
	took := time.Duration(float64(tokens) / e.cfg.CopyPerMS * float64(time.Millisecond))
	if from.region != e.region {
		took *= copyFactor
	}
	return took
}

// crash takes the engine away until a time.
func (e *engine) crash(until time.Duration) {
	e.kept.Purge()
	e.readTill, e.downTill = until, until
	e.incarnation++
}
