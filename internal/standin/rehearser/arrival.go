package rehearser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// zipfExponent and zipfOffset shape how subjects are asked for: of fifty the
// first one gets about a sixth.
const (
	zipfExponent = 1.1
	zipfOffset   = 2
)

// arrival is one request of a client.
type arrival struct {
	at      time.Duration
	kind    *Kind
	vm      int
	subject string
	own     int
}

// arrivals draws the requests of a load, in order of time.
func (l *Load) arrivals(seed uint64) []arrival {
	var list []arrival
	for n := range l.Kinds {
		k := &l.Kinds[n]
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		subjects := rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(k.Subjects-1))
		at := time.Duration(0)
		for {
			rate := k.PerSecond * l.factor(at)
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= l.end() {
				break
			}
			list = append(list, arrival{
				at:      at,
				kind:    k,
				vm:      rng.IntN(l.VMs),
				subject: fmt.Sprintf("%s-%d", k.Name, subjects.Uint64()),
				own:     1 + int(rng.ExpFloat64()*float64(k.Own)),
			})
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// factor is by how much the requests of a moment are multiplied.
func (l *Load) factor(at time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if at >= millis(b.AtMS) && at < millis(b.AtMS+b.ForMS) {
			factor *= b.Factor
		}
	}
	return factor
}

// worth is the benefit of a whole answer whose first token came after took.
func (k *Kind) worth(took time.Duration) float64 {
	switch {
	case took <= millis(k.ObjectiveMS):
		return k.Worth
	case took <= millis(k.PatienceMS):
		return k.Late
	}
	return 0
}
