package quarantiner

import "time"

// trialDelays are the times from the start of a quarantine, or from a trial, until the
// next trial. The last one repeats. The first is short, since what was quarantined by
// mistake is best known soon.
var trialDelays = [...]time.Duration{time.Second, 30 * time.Second, 10 * time.Minute, 2 * time.Hour, 12 * time.Hour}

const (
	// trialTime is how long a VM may take to send the request of a trial.
	trialTime = 3 * time.Second
	// demandTime is how long a refused request shows that a VM gets such requests.
	demandTime = 3 * time.Second
)

// trialPlan is when one request with a quarantined fingerprint may be sent all the same, at
// one VM.
type trialPlan struct {
	// count is the number of trials so far; the latest one is at vm, until a time.
	count int
	vm    string
	until time.Time
	// dueAt is when the next trial is due. It begins once a VM has had a request for it.
	dueAt    time.Time
	demandVM string
	demandAt time.Time
}

func (p *trialPlan) start(now time.Time) {
	*p = trialPlan{dueAt: now.Add(trialDelays[0])}
}

// resume goes on with the plan of another ledger.
func (p *trialPlan) resume(row Row) {
	*p = trialPlan{count: row.Trials, dueAt: row.TrialAt}
}

// advance begins the next trial if it is due, and reports whether it did.
func (p *trialPlan) advance(now time.Time) bool {
	if now.Before(p.dueAt) || p.demandVM == "" || now.Sub(p.demandAt) > demandTime {
		return false
	}
	p.count++
	p.vm, p.until = p.demandVM, now.Add(trialTime)
	p.dueAt = now.Add(trialDelays[min(p.count, len(trialDelays)-1)])
	p.demandVM = ""
	return true
}

// nextAt returns when the next trial begins, zero if no VM has a request for it.
func (p *trialPlan) nextAt(now time.Time) time.Time {
	if p.demandVM == "" || now.Sub(p.demandAt) > demandTime {
		return time.Time{}
	}
	return p.dueAt
}
