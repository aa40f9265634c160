package limiter

import "time"

const (
	// staleAfter is the age above which a report is ignored.
	staleAfter = 2 * time.Second
	// maxPeers is the maximum number of reports stored per organisation.
	maxPeers = 512
)

// report is the usage of a peer with the time of receipt.
type report struct {
	Usage
	at time.Time
}

// reports holds the latest report of each peer for one organisation.
type reports map[string]report

func (r reports) observe(now time.Time, u Usage) {
	if _, ok := r[u.Peer]; !ok && len(r) >= maxPeers {
		return
	}
	r[u.Peer] = report{Usage: u, at: now}
}

// sum returns the total rate and number of routers of all current reports except
// that of excludedPeer. It deletes stale reports, and those with a time in the
// future, which are left over from before a backward clock step.
func (r reports) sum(now time.Time, excludedPeer string) (rate float64, routers int) {
	for peer, rep := range r {
		age := now.Sub(rep.at)
		if age > staleAfter || age < 0 {
			delete(r, peer)
			continue
		}
		if peer != excludedPeer {
			rate += rep.Rate
			routers += rep.Routers
		}
	}
	return rate, routers
}
