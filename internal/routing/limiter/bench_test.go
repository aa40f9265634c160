package limiter

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAllow measures one usage report and one decision for several fleet
// sizes.
func BenchmarkAllow(b *testing.B) {
	for _, routers := range []int{9, 50, 410} {
		b.Run(fmt.Sprintf("routers=%d/organisations=590", routers), func(b *testing.B) {
			l := New()
			limits := make(map[string]float64)
			names := make([]string, 590)
			for i := range names {
				names[i] = fmt.Sprint(i)
				limits[names[i]] = 1e6
			}
			l.SetLimits(limits)
			l.SetRouterCounts(routers, routers)
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				name := names[i%len(names)]
				l.ObserveUsage(now, Usage{Peer: fmt.Sprint(i % routers), Organisation: name, Rate: 1, Routers: 1})
				l.Allow(now, name)
			}
		})
	}
}
