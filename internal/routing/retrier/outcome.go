// Package retrier decides which failed attempts may be retried within a retry
// budget, and tracks the health of upstreams with a circuit breaker for each.
// It does no I/O, starts no goroutine and reads no clock.
package retrier

import "time"

// Origin is the party that caused the failure of an attempt.
type Origin string

// Origins of a failure. Only failures from the upstream are retried.
const (
	// FromUpstream is a failure of the upstream or of the connection to it.
	FromUpstream Origin = "upstream"
	// FromCaller is an invalid request or a failed connection to the caller.
	FromCaller Origin = "caller"
	// FromRouter is a refusal or an internal error of the router.
	FromRouter Origin = "router"
)

// Result classifies an attempt by its effect on the upstream's health.
type Result string

// Results of an attempt.
const (
	Succeeded Result = "succeeded"
	// Failed is a broken connection, a timeout or an error response.
	Failed Result = "failed"
	// Unauthorised is a refusal of the router's credentials.
	Unauthorised Result = "unauthorised"
	// Unrelated is a result that does not affect the upstream's health.
	Unrelated Result = "unrelated"
)

// Failure describes a failed attempt.
type Failure struct {
	Origin Origin
	// NotRun is true if no byte of the request reached the upstream, or if the
	// upstream refused the request before running it.
	NotRun bool
	// Delivered is true if the caller has received part of the answer.
	Delivered bool
}

// Request holds the properties of a request on which a retry depends.
type Request struct {
	// Attempts is the number of attempts made so far.
	Attempts   int
	Idempotent bool
	// Deadline is the time after which no attempt is made; zero means none.
	Deadline time.Time
}

// Reason is the reason for a decision on a retry.
type Reason string

// Reasons of a decision.
const (
	Allowed         Reason = "allowed"
	NotIdempotent   Reason = "not_idempotent"
	NotFromUpstream Reason = "not_from_upstream"
	PartDelivered   Reason = "part_delivered"
	OutOfAttempts   Reason = "out_of_attempts"
	OutOfBudget     Reason = "out_of_budget"
	DeadlinePassed  Reason = "deadline_passed"
)

// Decision is the decision whether to retry an attempt.
type Decision struct {
	Retry  bool   `json:"retry"`
	Reason Reason `json:"reason"`
	// RetryAt is when the budget allows the next retry; set only if the budget
	// is exhausted.
	RetryAt time.Time `json:"retry_at,omitzero"`
}
