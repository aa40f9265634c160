package encoder

// Headers of the protocol between callers, routers and upstreams, in addition to
// the standard ones.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderOrganisation   = "X-Organisation"
	HeaderWeightsVersion = "X-Weights-Version"
	HeaderPriority       = "X-Priority"
	// HeaderIncarnation changes when an engine restarts and loses its streams.
	HeaderIncarnation = "X-Incarnation"
	// HeaderNotRun is "true" in a response to a request that was not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderLimit is the number of requests a second that the upstream takes from all
	// VMs together. It takes any number if it is absent.
	HeaderLimit = "X-Limit"
	// HeaderLeaving is "true" if the upstream is leaving.
	HeaderLeaving = "X-Leaving"
	// HeaderUpstream names the upstream that produced the response.
	HeaderUpstream = "X-Upstream"
	// HeaderImportBlocks is the number of leading prompt blocks that the engine
	// should import into its prefix cache.
	HeaderImportBlocks = "X-Import-Blocks"
	// HeaderExport is "true" if the engine should export the prompt blocks.
	HeaderExport         = "X-Export"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Path and query parameters of the engine API that resumes and cancels streams.
const (
	PathStreams  = "/v1/streams/"
	ParamOffset  = "offset"
	ParamModel   = "model"
	ParamChat    = "chat"
	ParamAttempt = "attempt"
)
