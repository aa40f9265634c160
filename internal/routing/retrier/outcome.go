// Package retrier decides which failed attempts may be made again, how many
// retries the fleet can afford, and which upstreams are left out for a while.
// It does no I/O, starts no goroutine and reads no clock.
package retrier

import "time"

// Origin tells who produced the failure of an attempt.
type Origin string

// Origins of a failure. Only the upstream's own are worth another attempt.
const (
	// FromUpstream is a failure in the contact with the upstream.
	FromUpstream Origin = "upstream"
	// FromCaller is a failure in the request or in the contact with the caller.
	FromCaller Origin = "caller"
	// FromRouter is a refusal or a fault of the router itself.
	FromRouter Origin = "router"
)

// Result is the result of one attempt as the upstream's health sees it.
type Result string

// Results of an attempt.
const (
	Succeeded Result = "succeeded"
	// Failed is a broken or silent contact, or an answer that is a failure.
	Failed Result = "failed"
	// Unauthorised is a refusal of the router's own credentials.
	Unauthorised Result = "unauthorised"
	// Unrelated is a result that says nothing of the upstream's health.
	Unrelated Result = "unrelated"
)

// Failure describes a failed attempt.
type Failure struct {
	Origin Origin
	// NotRun is true where no byte of the request reached the upstream, or the
	// upstream itself refused it before running it.
	NotRun bool
	// Delivered is true once the caller has received a part of the answer.
	Delivered bool
}

// Request is what the decision on a retry knows of the request.
type Request struct {
	// Attempts is the number of attempts already made.
	Attempts   int
	Idempotent bool
	// Deadline ends all attempts; zero is none.
	Deadline time.Time
}

// Reason says in fixed words why an attempt is or is not made again.
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

// Decision tells whether the attempt may be made again.
type Decision struct {
	Retry  bool   `json:"retry"`
	Reason Reason `json:"reason"`
	// RetryAt is when the budget allows the next retry, where it is spent.
	RetryAt time.Time `json:"retry_at,omitzero"`
}
