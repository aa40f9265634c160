package rehearser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// zipfExponent and zipfOffset shape the popularity of subjects: the most popular
// one of fifty gets about a sixth of the requests.
const (
	zipfExponent = 1.1
	zipfOffset   = 2
)

// arrival is a client's request with the time at which it arrives.
type arrival struct {
	at      time.Duration
	kind    *Kind
	vm      int
	subject string
	// ownTokens is the size of the part of the prompt that no other request shares.
	ownTokens int
}

// arrivals generates the random requests of a load, sorted by time.
func (l *Load) arrivals(seed uint64) []arrival {
	var list []arrival
	for n := range l.Kinds {
		k := &l.Kinds[n]
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		subjects := rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(k.Subjects-1))
		at := time.Duration(0)
		for {
			rate := k.PerSecond * l.rateFactor(k, at)
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= l.end() {
				break
			}
			list = append(list, arrival{
				at:        at,
				kind:      k,
				vm:        rng.IntN(l.VMs),
				subject:   fmt.Sprintf("%s-%d", k.Name, subjects.Uint64()),
				ownTokens: 1 + int(rng.ExpFloat64()*float64(k.MeanOwnTokens)),
			})
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// rateFactor returns the factor by which bursts multiply the request rate of a kind at
// a point in time.
func (l *Load) rateFactor(k *Kind, at time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if at >= millis(b.AtMS) && at < millis(b.AtMS+b.ForMS) && (len(b.Kinds) == 0 || slices.Contains(b.Kinds, k.Name)) {
			factor *= b.Factor
		}
	}
	return factor
}

// benefit returns the benefit of a complete response whose first token came after
// the given latency.
func (k *Kind) benefit(latency time.Duration) float64 {
	switch {
	case latency <= millis(k.ObjectiveMS):
		return k.Benefit
	case latency <= millis(k.PatienceMS):
		return k.LateBenefit
	}
	return 0
}
