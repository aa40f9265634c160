// Package resumer decides how an answer goes on after an exchange with an
// upstream has failed. It does no I/O and reads no clock.
package resumer

// Action is what to do next.
type Action string

// Actions.
const (
	// Resume asks the same upstream for the rest, on a new connection.
	Resume Action = "resume"
	// Send sends the request anew; no chunk has reached the caller.
	Send Action = "send"
	// Continue has another upstream go on from the prompt and the text so far.
	Continue Action = "continue"
	// GiveUp ends the answer with an explicit error.
	GiveUp Action = "give_up"
)

// Progress is how far an answer has come and what it may still use.
type Progress struct {
	// Passed is the number of chunks that the caller has or will get.
	Passed uint64
	// Resumes and Attempts count what was used; Attempts counts upstreams chosen.
	Resumes     int
	MaxResumes  int
	Attempts    int
	MaxAttempts int
	// ContinueElsewhere is true where the model allows Continue.
	ContinueElsewhere bool
}

// Break describes a failed exchange.
type Break struct {
	// Sent is true where a byte of the request may have left.
	Sent bool
	// Refused is true where the upstream refused the request.
	Refused bool
	// Final is true where every upstream would refuse the request.
	Final bool
	// Lost is true where the upstream knows nothing of the answer, or has
	// restarted since.
	Lost bool
	// Known is true where the upstream had begun to answer earlier.
	Known bool
	// Silent is true where the connection gave no byte in time.
	Silent bool
	// Reused is true where the connection had served an earlier request.
	Reused bool
	// Advanced is true where the exchange brought at least one new chunk.
	Advanced bool
}

// Decision is an action with what it says about the upstream that failed.
type Decision struct {
	Action Action
	// Blame is true where the upstream itself is at fault, so that it is left
	// out of later attempts.
	Blame bool
}

// Decide returns how to go on.
func Decide(p Progress, b Break) Decision {
	if b.Final {
		return Decision{Action: GiveUp}
	}
	if resumable(b) && p.Resumes < p.MaxResumes {
		return Decision{Action: Resume}
	}
	return Decision{Action: elsewhere(p), Blame: blame(b)}
}

// resumable reports whether the upstream may still be at work on the answer.
func resumable(b Break) bool {
	if !b.Sent || b.Refused || b.Lost {
		return false
	}
	return !b.Silent || b.Reused || b.Advanced
}

// blame tells a failed upstream from a stale connection to a healthy one.
func blame(b Break) bool {
	stale := !b.Sent && b.Reused
	unheard := b.Lost && !b.Known
	return !stale && !unheard
}

func elsewhere(p Progress) Action {
	switch {
	case p.Attempts >= p.MaxAttempts:
		return GiveUp
	case p.Passed == 0:
		return Send
	case p.ContinueElsewhere:
		return Continue
	}
	return GiveUp
}
