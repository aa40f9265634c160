// Package classifier defines the closed set of error kinds and the answer to the
// caller for each kind.
package classifier

// Kind is the class of an error. The set is closed: every error that is returned to
// a caller or an operator has one of these kinds.
type Kind string

// Kinds of errors that are returned to callers.
const (
	InvalidRequest      Kind = "invalid_request"
	Unauthenticated     Kind = "unauthenticated"
	Forbidden           Kind = "forbidden"
	NotFound            Kind = "not_found"
	TooLarge            Kind = "too_large"
	TooManyConnections  Kind = "too_many_connections"
	RateLimited         Kind = "rate_limited"
	Overloaded          Kind = "overloaded"
	DeadlineUnmeetable  Kind = "deadline_unmeetable"
	NoUpstream          Kind = "no_upstream"
	Quarantined         Kind = "quarantined"
	NoBundle            Kind = "no_bundle"
	UpstreamFailed      Kind = "upstream_failed"
	UpstreamRefused     Kind = "upstream_refused"
	OutcomeUnknown      Kind = "outcome_unknown"
	StreamBroken        Kind = "stream_broken"
	IdempotencyConflict Kind = "idempotency_conflict"
	AlreadyClaimed      Kind = "already_claimed"
	StoreUnavailable    Kind = "store_unavailable"
	ShuttingDown        Kind = "shutting_down"
	Timeout             Kind = "timeout"
	CallerGone          Kind = "caller_gone"
	CallerTooSlow       Kind = "caller_too_slow"
	Internal            Kind = "internal"
)

// Kinds of errors that are only returned to operators and peers.
const (
	BundleUnsigned        Kind = "bundle_unsigned"
	BundleTampered        Kind = "bundle_tampered"
	BundleWrongDeployment Kind = "bundle_wrong_deployment"
	BundleStale           Kind = "bundle_stale"
	BundleUnknownKey      Kind = "bundle_unknown_key"
	BundleUnknownField    Kind = "bundle_unknown_field"
	BundleInvalid         Kind = "bundle_invalid"
	BundleConflict        Kind = "bundle_conflict"
	SettingsInvalid       Kind = "settings_invalid"
	PeerRefused           Kind = "peer_refused"
	MessageInvalid        Kind = "message_invalid"
	LeaseLost             Kind = "lease_lost"
	FencingRefused        Kind = "fencing_refused"
	RevisionConflict      Kind = "revision_conflict"
)
