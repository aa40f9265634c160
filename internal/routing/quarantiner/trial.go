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
	// fewestTime is how long trials are kept for requests with the fewest quarantined
	// fingerprints after the last of these. A crash under one with more shows less.
	fewestTime = 10 * time.Second
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
	// demanded are the quarantined fingerprints of that request, tried those of the request
	// of the latest trial, and failedWith those of the latest one with a crash.
	demanded   []Fingerprint
	tried      []Fingerprint
	failedWith []Fingerprint
	// fewest is the least number of these in any request, the last of which was at
	// fewestAt.
	fewest   int
	fewestAt time.Time
}

// start plans the first trial.
func (p *trialPlan) start(now time.Time) {
	*p = trialPlan{dueAt: now.Add(trialDelays[0])}
}

// resume goes on with the plan of another ledger.
func (p *trialPlan) resume(row Row) {
	*p = trialPlan{count: row.Trials, failed: row.Trials, dueAt: row.TrialAt}
}

// recordDemand records that a VM has refused a request with quarantined fingerprints.
func (p *trialPlan) recordDemand(now time.Time, vm string, demanded []Fingerprint) {
	if p.hasFewer(now, len(demanded)) {
		return
	}
	p.fewest, p.fewestAt = len(demanded), now
	p.demandVM, p.demandAt, p.demanded = vm, now, demanded
}

// hasFewer reports whether there are requests with less than n quarantined fingerprints.
func (p *trialPlan) hasFewer(now time.Time, n int) bool {
	return p.fewest > 0 && p.fewest < n && now.Sub(p.fewestAt) <= fewestTime
}

// hasten makes the next trial due, unless the result of one is awaited.
func (p *trialPlan) hasten(now time.Time) {
	if !p.pending && now.Before(p.dueAt) {
		p.dueAt = now
	}
}

// recordCrash records a crash. If it is the result of a trial, it delays the next one. It
// reports whether it did.
func (p *trialPlan) recordCrash(now time.Time, c crash) bool {
	if !p.pending || c.sentAt.Before(p.began) {
		return false
	}
	p.pending = false
	p.failed++
	p.failedWith = p.tried
	p.dueAt = now.Add(trialDelays[min(p.failed, len(trialDelays)-1)])
	return true
}

// advance begins the next trial if it is due, and reports whether it did.
func (p *trialPlan) advance(now time.Time) bool {
	if now.Before(p.dueAt) || p.demandVM == "" || now.Sub(p.demandAt) > demandTime {
		return false
	}
	p.count++
	p.vm, p.began, p.until, p.pending = p.demandVM, now, now.Add(trialTime), true
	p.dueAt = now.Add(trialResultTime)
	p.demandVM, p.tried = "", p.demanded
	return true
}

// nextAt returns when the next trial begins, zero if no VM has a request for it.
func (p *trialPlan) nextAt(now time.Time) time.Time {
	if p.demandVM == "" || now.Sub(p.demandAt) > demandTime {
		return time.Time{}
	}
	return p.dueAt
}
