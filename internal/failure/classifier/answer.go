package classifier

import (
	"net/http"
	"time"
)

// Answer is the response to a caller for errors of one kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// NotRun is true only if no byte of the request reached an upstream, or if the
	// upstream rejected the request before executing it.
	NotRun bool
	// Retryable is true if the request may succeed when sent again later.
	Retryable bool
	// RetryAfter is the minimum delay suggested to the caller if there is no better
	// estimate.
	RetryAfter time.Duration
}

const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// answers holds the answer for every known kind.
var answers = map[Kind]Answer{
	InvalidRequest:      {Status: http.StatusBadRequest, NotRun: true},
	Unauthenticated:     {Status: http.StatusUnauthorized, NotRun: true},
	Forbidden:           {Status: http.StatusForbidden, NotRun: true},
	NotFound:            {Status: http.StatusNotFound, NotRun: true},
	TooLarge:            {Status: http.StatusRequestEntityTooLarge, NotRun: true},
	TooManyConnections:  {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: shortRetryAfter},
	RateLimited:         {Status: http.StatusTooManyRequests, NotRun: true, Retryable: true, RetryAfter: shortRetryAfter},
	Overloaded:          {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: shortRetryAfter},
	DeadlineUnmeetable:  {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: shortRetryAfter},
	NoUpstream:          {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: shortRetryAfter},
	Quarantined:         {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: longRetryAfter},
	NoBundle:            {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: longRetryAfter},
	UpstreamFailed:      {Status: http.StatusBadGateway, Retryable: true, RetryAfter: shortRetryAfter},
	UpstreamRefused:     {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: shortRetryAfter},
	OutcomeUnknown:      {Status: http.StatusBadGateway},
	StreamBroken:        {Status: http.StatusBadGateway, Retryable: true, RetryAfter: shortRetryAfter},
	IdempotencyConflict: {Status: http.StatusUnprocessableEntity, NotRun: true},
	AlreadyClaimed:      {Status: http.StatusConflict},
	StoreUnavailable:    {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: longRetryAfter},
	ShuttingDown:        {Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: shortRetryAfter},
	Timeout:             {Status: http.StatusGatewayTimeout, Retryable: true, RetryAfter: shortRetryAfter},
	CallerGone:          {Status: statusClientClosedRequest},
	CallerTooSlow:       {Status: http.StatusRequestTimeout},
	Internal:            {Status: http.StatusInternalServerError},

	BundleUnsigned:        {Status: http.StatusForbidden},
	BundleTampered:        {Status: http.StatusForbidden},
	BundleWrongDeployment: {Status: http.StatusForbidden},
	BundleStale:           {Status: http.StatusConflict},
	BundleUnknownKey:      {Status: http.StatusForbidden},
	BundleUnknownField:    {Status: http.StatusBadRequest},
	BundleInvalid:         {Status: http.StatusBadRequest},
	BundleConflict:        {Status: http.StatusConflict},
	SettingsInvalid:       {Status: http.StatusBadRequest},
	PeerRefused:           {Status: http.StatusForbidden},
	MessageInvalid:        {Status: http.StatusBadRequest},
	LeaseLost:             {Status: http.StatusConflict},
	FencingRefused:        {Status: http.StatusConflict},
	RevisionConflict:      {Status: http.StatusConflict},
}

// statusClientClosedRequest is the non-standard status logged for a caller that
// disconnected.
const statusClientClosedRequest = 499

// AnswerOf returns the answer for kind, or that for Internal if kind is unknown.
func AnswerOf(kind Kind) Answer {
	answer, ok := answers[kind]
	if !ok {
		return answers[Internal]
	}
	return answer
}

// Kinds returns all known kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}
