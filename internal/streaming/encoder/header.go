package encoder

// Headers that routers and upstreams exchange beside the usual ones.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderOrganisation   = "X-Organisation"
	HeaderWeightsVersion = "X-Weights-Version"
	HeaderPriority       = "X-Priority"
	HeaderIncarnation    = "X-Incarnation"
	HeaderNotRun         = "X-Not-Run"
	HeaderUpstream       = "X-Upstream"
	HeaderIdempotencyKey = "Idempotency-Key"
)
