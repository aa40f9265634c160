package selector

import (
	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

const (
	// ladderStart is the number of leading blocks of the first step of a ladder.
	ladderStart = 8
	// scoreBits is the size of a score.
	scoreBits = 64
)

// ladder ranks upstreams as homes of a prompt. Its steps are the leading 8, 16,
// 32 and so on blocks. Each step halves the upstreams, so that prompts which
// share more blocks share more of their possible homes; the last step orders
// those that are left. Routers agree on it without any message.
type ladder struct {
	steps []hasher.Hash
	// scores is the memory of top.
	scores []uint64
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

// rank appends to buf the places of the n near options with the highest scores
// that accept allows, the highest first.
func (l *ladder) rank(buf []int32, f *field, candidates []Candidate, n int, accept func(o *option) bool) []int32 {
	l.scores = l.scores[:0]
	for at := range f.options {
		o := &f.options[at]
		if !f.near(o) {
			continue
		}
		s := l.score(candidates[o.at].Name)
		if len(buf) == n && s <= l.scores[n-1] || !accept(o) {
			continue
		}
		if len(buf) < n {
			buf = append(buf, 0)
			l.scores = append(l.scores, 0)
		}
		place := len(buf) - 1
		for place > 0 && l.scores[place-1] < s {
			buf[place], l.scores[place] = buf[place-1], l.scores[place-1]
			place--
		}
		buf[place], l.scores[place] = int32(at), s
	}
	return buf
}
