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
	HeaderLeaving        = "X-Leaving"
	HeaderUpstream       = "X-Upstream"
	HeaderImportBlocks   = "X-Import-Blocks"
	HeaderExport         = "X-Export"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Path and query parameters by which engines let a stream be resumed and
// cancelled.
const (
	PathStreams  = "/v1/streams/"
	ParamOffset  = "offset"
	ParamModel   = "model"
	ParamChat    = "chat"
	ParamAttempt = "attempt"
)
