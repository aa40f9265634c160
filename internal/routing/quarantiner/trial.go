package quarantiner

import "time"

// trialDelays are the times from the start of a quarantine, or from the crash in a trial,
// until the next trial. The last one repeats. The first is short, since it ends
// quarantines that are mistakes.
var trialDelays = [...]time.Duration{time.Second, 30 * time.Second, 10 * time.Minute, 2 * time.Hour, 12 * time.Hour}

const (
	// trialTime is how long a VM may take to send the request of a trial. If there is
	// neither a crash nor an answer within trialResultTime, another trial may begin.
	trialTime       = 3 * time.Second
	trialResultTime = 8 * time.Second
	// demandTime is how long a refused request shows that a VM gets such requests.
	demandTime = 3 * time.Second
	// singleDemandTime is how long trials wait for a request with no other quarantined
	// fingerprint. A crash under one with several says nothing about each.
	singleDemandTime = 10 * time.Second
)

// trialPlan is when one request with a quarantined fingerprint may be sent all the same, at
// one VM.
type trialPlan struct {
	// count is the number of trials so far; the latest one is at vm, until a time. It is
	// pending until there is a crash.
	count   int
	vm      string
	began   time.Time
	until   time.Time
	pending bool
	// failed is the number of trials with a crash.
	failed int
	// dueAt is when the next trial is due. It begins once a VM has had a request for it.
	dueAt    time.Time
	demandVM string
	demandAt time.Time
	// singleAt is when a VM last had a request with no other quarantined fingerprint.
	singleAt time.Time
}

// start plans the first trial.
func (p *trialPlan) start(now time.Time) {
	*p = trialPlan{dueAt: now.Add(trialDelays[0]), singleAt: now}
}

// resume goes on with the plan of another ledger.
func (p *trialPlan) resume(now time.Time, row Row) {
	*p = trialPlan{count: row.Trials, failed: row.Trials, dueAt: row.TrialAt, singleAt: now}
}

// recordDemand records that a VM has refused a request, which has a number of quarantined
// fingerprints.
func (p *trialPlan) recordDemand(now time.Time, vm string, fingerprints int) {
	if fingerprints == 1 {
		p.singleAt = now
	}
	if fingerprints == 1 || now.Sub(p.singleAt) > singleDemandTime {
		p.demandVM, p.demandAt = vm, now
	}
}

// recordCrash records a crash. In a trial it delays the next one.
func (p *trialPlan) recordCrash(now, at time.Time) {
	if !p.pending || at.Before(p.began) {
		return
	}
	p.pending = false
	p.failed++
	p.dueAt = now.Add(trialDelays[min(p.failed, len(trialDelays)-1)])
}

// advance begins the next trial if it is due, and reports whether it did.
func (p *trialPlan) advance(now time.Time) bool {
	if now.Before(p.dueAt) || p.demandVM == "" || now.Sub(p.demandAt) > demandTime {
		return false
	}
	p.count++
	p.vm, p.began, p.until, p.pending = p.demandVM, now, now.Add(trialTime), true
	p.dueAt = now.Add(trialResultTime)
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
