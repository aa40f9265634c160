package coordinator

import (
	"sync"
	"time"
)

// maxUnconfirmedReports bounds the reports that are kept until the hub's loads
// include them.
const maxUnconfirmedReports = 256

// sentReports holds the loads of the reports of one connection until the hub's loads
// include later ones.
type sentReports struct {
	mu    sync.Mutex
	last  uint64
	loads []numberedLoads
	// interval is the time between two reports.
	interval time.Duration
}

type numberedLoads struct {
	number uint64
	sentAt time.Time
	loads  map[string]Load
}

// add records a report and returns its number.
func (r *sentReports) add(now time.Time, loads map[string]Load) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.loads = append(r.loads, numberedLoads{r.last, now, loads})
	if len(r.loads) > maxUnconfirmedReports {
		r.loads = r.loads[1:]
	}
	return r.last
}

// confirm returns the loads of the report with a number and when it was sent, and drops
// the earlier ones. Both are zero if there is no such report.
func (r *sentReports) confirm(number uint64) (map[string]Load, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.loads) > 0 && r.loads[0].number < number {
		r.loads = r.loads[1:]
	}
	if len(r.loads) == 0 || r.loads[0].number != number {
		return nil, time.Time{}
	}
	return r.loads[0].loads, r.loads[0].sentAt
}

// setInterval sets the time between two reports to what the hub asks for.
func (r *sentReports) setInterval(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interval = max(interval, reportInterval)
}

func (r *sentReports) nextInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interval
}

// isFirst reports whether no report was sent yet.
func (r *sentReports) isFirst() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last == 0
}
