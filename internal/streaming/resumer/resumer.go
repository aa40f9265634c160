// Package resumer decides how to recover an answer after an exchange with an
// upstream has failed. It does no I/O and reads no clock.
package resumer

// Action is the next step of the recovery.
type Action string

// Actions after a failed exchange.
const (
	// Resume requests the remaining chunks from the same upstream on a new
	// connection.
	Resume Action = "resume"
	// Send sends the original request to a newly chosen upstream, which is
	// possible only while no chunk has been delivered.
	Send Action = "send"
	// Continue has a newly chosen upstream generate the rest of the answer from
	// the prompt and the text delivered so far.
	Continue Action = "continue"
	// GiveUp ends the answer with an error that the caller receives.
	GiveUp Action = "give_up"
)

// Progress is the state of an answer and its limits on recovery.
type Progress struct {
	// DeliveredChunks is the number of chunks that were delivered or queued for
	// delivery to the caller.
	DeliveredChunks uint64
	// Resumes counts the uses of Resume, Attempts the upstreams chosen so far.
	Resumes     int
	MaxResumes  int
	Attempts    int
	MaxAttempts int
	// ContinueElsewhere is true if the model allows Continue.
	ContinueElsewhere bool
}

// Failure describes a failed exchange.
type Failure struct {
	// Sent is true if a byte of the request may have been sent.
	Sent bool
	// Refused is true if the upstream refused the request.
	Refused bool
	// Permanent is true if every upstream would refuse the request, so that a
	// retry is useless.
	Permanent bool
	// StreamLost is true if the upstream has no stream for the request, or has
	// restarted since it began to answer.
	StreamLost bool
	// Responded is true if an earlier exchange of this attempt received a response
	// header from the upstream.
	Responded bool
	// Silent is true if the upstream sent no byte within the timeout.
	Silent bool
	// Reused is true if the connection had served an earlier request.
	Reused bool
	// Advanced is true if the exchange delivered at least one new chunk.
	Advanced bool
}

// Decision is an action and a verdict on the upstream of the failed exchange.
type Decision struct {
	Action Action
	// UpstreamAtFault is true if the failure is attributed to the upstream, which
	// is then excluded from later attempts.
	UpstreamAtFault bool
}

// Decide returns the action for a failed exchange. The caller counts each Resume
// in Resumes and each newly chosen upstream in Attempts, which bounds recovery.
func Decide(p Progress, f Failure) Decision {
	if f.Permanent {
		return Decision{Action: GiveUp}
	}
	if canResume(f) && p.Resumes < p.MaxResumes {
		return Decision{Action: Resume}
	}
	return Decision{Action: newAttemptAction(p), UpstreamAtFault: isUpstreamAtFault(f)}
}

// canResume reports whether the upstream may still be generating the answer. A
// timeout on a new connection without a new chunk means that the upstream itself
// hangs, while a reused connection may have been stale.
func canResume(f Failure) bool {
	if !f.Sent || f.Refused || f.StreamLost {
		return false
	}
	return !f.Silent || f.Reused || f.Advanced
}

// isUpstreamAtFault reports whether a failure is attributed to the upstream. It is
// not if a reused connection failed before any byte of the request was sent, or if
// the upstream has never received the request.
func isUpstreamAtFault(f Failure) bool {
	staleConnection := !f.Sent && f.Reused
	neverReceived := f.StreamLost && !f.Responded
	return !staleConnection && !neverReceived
}

// newAttemptAction returns how a newly chosen upstream can take over the answer, or
// GiveUp if no attempt is left or allowed.
func newAttemptAction(p Progress) Action {
	switch {
	case p.Attempts >= p.MaxAttempts:
		return GiveUp
	case p.DeliveredChunks == 0:
		return Send
	case p.ContinueElsewhere:
		return Continue
	}
	return GiveUp
}
