package limiter

import "time"

const (
	// staleAfter is the age at which a report is no longer believed.
	staleAfter = 2 * time.Second
	// maxPeers bounds the reports kept for one organisation.
	maxPeers = 512
)

// report is a use with the time it was heard.
type report struct {
	Use
	at time.Time
}

// reports holds the latest use of each peer for one organisation.
type reports map[string]report

func (r reports) observe(now time.Time, u Use) {
	if _, ok := r[u.Peer]; !ok && len(r) >= maxPeers {
		return
	}
	r[u.Peer] = report{Use: u, at: now}
}

// sum adds up what is still believed, other than from one peer, and forgets
// the rest. A report from the future is of a clock that jumped.
func (r reports) sum(now time.Time, other string) (rate float64, routers int) {
	for peer, rep := range r {
		age := now.Sub(rep.at)
		if age > staleAfter || age < 0 {
			delete(r, peer)
			continue
		}
		if peer != other {
			rate += rep.Rate
			routers += rep.Routers
		}
	}
	return rate, routers
}
