package selector

import (
	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// ladderStart is the number of leading blocks of the first step of a ladder.
const ladderStart = 8

// scoreBits is the size of a score.
const scoreBits = 64

// ladder ranks upstreams as homes of a prompt. Its steps are the leading 8, 16,
// 32 and so on blocks. Each step halves the upstreams, so that prompts which
// share more blocks share more of their possible homes; the last step orders
// those that are left. Routers agree on it without any message.
type ladder struct {
	steps []hasher.Hash
}

// climb sets the steps for r.
func (l *ladder) climb(r *Request) {
	l.steps = l.steps[:0]
	depth := r.homeDepth()
	for at := ladderStart; at <= depth; at *= 2 {
		l.steps = append(l.steps, r.Chain[at-1])
	}
	if len(l.steps) == 0 {
		l.steps = append(l.steps, r.Chain[max(depth, 1)-1])
	}
}

// score returns the rank of an upstream; the highest is the home, the next one
// its first overflow.
func (l *ladder) score(name string) uint64 {
	sum := xxhash.Sum64String(name)
	rank := uint64(0)
	for _, step := range l.steps {
		rank = rank<<1 | mix(step, sum)>>(scoreBits-1)
	}
	n := len(l.steps)
	last := mix(l.steps[n-1]+1, sum)
	return rank<<(scoreBits-n) | last>>n
}

// highest returns the index with the highest score among those that accept
// allows, or -1.
func (l *ladder) highest(indexes []int32, candidates []Candidate, accept func(i int32) bool) int32 {
	best := int32(-1)
	var bestScore uint64
	for _, i := range indexes {
		s := l.score(candidates[i].Name)
		if best >= 0 && s <= bestScore {
			continue
		}
		if !accept(i) {
			continue
		}
		best, bestScore = i, s
	}
	return best
}
