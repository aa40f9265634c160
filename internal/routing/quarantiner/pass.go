package quarantiner

import "time"

// Pass holds the numbers of the trials that permit one request.
type Pass map[Fingerprint]int

// Admit is like Check, right before a request is sent. It uses up the trials that permit
// it.
func (g *Guard) Admit(now time.Time, fingerprints []Fingerprint) bool {
	_, admitted := g.AdmitWithPass(now, fingerprints)
	return admitted
}

// AdmitWithPass is like Admit. It returns the trials that the request uses up.
func (g *Guard) AdmitWithPass(now time.Time, fingerprints []Fingerprint) (Pass, bool) {
	if _, refused := g.Check(now, fingerprints); refused {
		return nil, false
	}
	var pass Pass
	for _, f := range fingerprints {
		row, ok := g.quarantine(now, f)
		if !ok {
			continue
		}
		if pass == nil {
			pass = make(Pass)
		}
		g.triedTrials[f], pass[f] = row.Trials, row.Trials
	}
	return pass, true
}

// Return gives back the trials of a request that no upstream has run, so that another
// request can use them.
func (g *Guard) Return(pass Pass) {
	for f, trial := range pass {
		if g.triedTrials[f] == trial {
			g.triedTrials[f] = trial - 1
		}
	}
}

// onTrial reports whether this VM may send a request in spite of its quarantine.
func (g *Guard) onTrial(now time.Time, row Row) bool {
	return row.TrialVM == g.node && now.Before(row.TrialUntil) && g.triedTrials[row.Fingerprint] < row.Trials
}
