package admitter

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// BenchmarkArriveFinish measures one Arrive and one Finish with a full queue.
func BenchmarkArriveFinish(b *testing.B) {
	for _, organisations := range []int{8, 59, 590} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			policy := checker.AdmissionPolicy{QueueLength: 1200, MaxWait: checker.Duration(time.Hour)}
			a := New(Config{Policy: policy, Slots: 60})
			now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			var running []string
			next := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				next++
				r := Request{ID: strconv.Itoa(next), Organisation: strconv.Itoa(next % organisations), Cost: 500}
				if a.Arrive(now, r).Outcome == Admitted {
					running = append(running, r.ID)
				}
				if len(a.waiting) < policy.QueueLength {
					continue
				}
				running = append(running[1:], a.Finish(now, running[0]).Admitted...)
			}
		})
	}
}

// BenchmarkDemandWindow reports the mean interactive wait and the number of
// completed batch requests for several lengths of the demand window.
func BenchmarkDemandWindow(b *testing.B) {
	for _, l := range readRows[load](b, "testdata/loads.json") {
		if l.Without == "" {
			continue
		}
		for _, window := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second, time.Minute} {
			l.DemandWindow = checker.Duration(window)
			b.Run(l.Name+"/"+window.String(), func(b *testing.B) {
				for b.Loop() {
					f := newFakeRouter(l, "")
					f.run()
					b.ReportMetric(float64(f.meanWait())/float64(time.Millisecond), "wait_ms")
					b.ReportMetric(float64(f.sources[len(f.sources)-1].completed), "batch_done")
				}
			})
		}
	}
}
