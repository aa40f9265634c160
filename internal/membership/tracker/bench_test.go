package tracker

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMembership simulates clusters of several sizes in virtual time. It
// reports the steady-state traffic and CPU time per node, and the convergence times
// of a start, a node restart and a node failure.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []int{9, 50, 410} {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("size=%d/loss=%g", size, loss), func(b *testing.B) {
				for b.Loop() {
					measure(b, size, loss)
				}
			})
		}
	}
}

func measure(b *testing.B, size int, loss float64) {
	n := newNetwork(size, loss, 1)
	started := n.now
	if !n.run(n.now.Add(5*time.Minute), func() bool { return n.converged(true) }) {
		b.Fatal("the network did not converge")
	}
	b.ReportMetric(n.now.Sub(started).Seconds(), "converge_s")
	n.run(started.Add(10*time.Minute), nil)
	n.messages, n.bytes, n.largest, n.falseDeaths = 0, 0, 0, 0
	const steady = 10 * time.Minute
	begin := time.Now()
	n.run(n.now.Add(steady), nil)
	nodeSeconds := float64(size) * steady.Seconds()
	b.ReportMetric(float64(n.messages)/nodeSeconds, "messages/node/s")
	b.ReportMetric(float64(n.bytes)/nodeSeconds, "bytes/node/s")
	b.ReportMetric(float64(time.Since(begin).Microseconds())/nodeSeconds, "cpu_us/node/s")
	b.ReportMetric(float64(n.largest), "largest_bytes")
	b.ReportMetric(float64(n.falseDeaths), "false_deaths")
	restartedAt := n.now
	n.start(size / 3)
	n.run(n.now.Add(2*time.Minute), func() bool { return n.converged(true) })
	b.ReportMetric(n.now.Sub(restartedAt).Seconds(), "rejoin_s")
	killedAt := n.now
	killed := size / 2
	n.nodes[killed].up = false
	n.run(n.now.Add(2*time.Minute), func() bool {
		return n.allPeersSee(killed, func(s State) bool { return s == Dead })
	})
	b.ReportMetric(n.firstDead[killed].Sub(killedAt).Seconds(), "detect_s")
	b.ReportMetric(n.now.Sub(killedAt).Seconds(), "spread_s")
	if len(n.failures) > 0 {
		b.Fatal(n.failures[0])
	}
}
