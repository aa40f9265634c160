package selector

import (
	"github.com/cespare/xxhash/v2"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

const (
	// firstLevelBlocks is the number of leading blocks hashed at the first level.
	firstLevelBlocks = 8
	// scoreBits is the width of a rendezvous score.
	scoreBits = 64
)

// homeRanker ranks upstreams as homes of a prompt by hierarchical rendezvous
// hashing. Its levels are the prefixes of 8, 16, 32 and so on blocks. Each level
// adds one bit to the score and so halves the preferred upstreams: the longer the
// prefix that two prompts share, the more of their preferred homes coincide. The
// remaining bits, from the hash of the last level, order upstreams that are equal
// at every level. Routers arrive at the same ranking without communication.
type homeRanker struct {
	// levels holds the hash of each level's prefix.
	levels []hasher.Hash
	// scores is the buffer for the scores of the options that appendTop keeps.
	scores []uint64
}

// setLevels computes the levels of r, up to its home depth. A home prefix that is
// shorter than the first level is the only level.
func (l *homeRanker) setLevels(r *Request) {
	l.levels = l.levels[:0]
	depth := r.homeDepth()
	for blocks := firstLevelBlocks; blocks <= depth; blocks *= 2 {
		l.levels = append(l.levels, r.Chain[blocks-1])
	}
	if len(l.levels) == 0 {
		l.levels = append(l.levels, r.Chain[max(depth, 1)-1])
	}
}

// score returns the score of an upstream. The upstream with the highest score is
// the home, the next in descending order is the first overflow target.
func (l *homeRanker) score(name string) uint64 {
	nameHash := xxhash.Sum64String(name)
	bits := uint64(0)
	for _, level := range l.levels {
		bits = bits<<1 | mixHashes(level, nameHash)>>(scoreBits-1)
	}
	n := len(l.levels)
	tieBreak := mixHashes(l.levels[n-1]+1, nameHash)
	return bits<<(scoreBits-n) | tieBreak>>n
}

// appendTop appends to buf the indices of the n options with the highest scores
// among those in the preferred region that accept allows, in descending order.
// The buffer must be empty.
func (l *homeRanker) appendTop(buf []int32, set *optionSet, candidates []Candidate, n int, accept func(o *option) bool) []int32 {
	l.scores = l.scores[:0]
	for i := range set.options {
		o := &set.options[i]
		if !set.preferred(o) {
			continue
		}
		s := l.score(candidates[o.index].Name)
		if len(buf) == n && s <= l.scores[n-1] || !accept(o) {
			continue
		}
		if len(buf) < n {
			buf = append(buf, 0)
			l.scores = append(l.scores, 0)
		}
		pos := len(buf) - 1
		for pos > 0 && l.scores[pos-1] < s {
			buf[pos], l.scores[pos] = buf[pos-1], l.scores[pos-1]
			pos--
		}
		buf[pos], l.scores[pos] = int32(i), s
	}
	return buf
}
