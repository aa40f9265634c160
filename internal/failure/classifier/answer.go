package classifier

import (
	"net/http"
	"time"
)

// Answer is what a caller is told about a failure of one kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// NotRun is true only where no byte of the request reached an upstream,
	// or the upstream itself refused it before running it.
	NotRun bool
	// Retry tells whether coming back later can help.
	Retry bool
	// RetryAfter is the shortest wait to suggest where no better estimate exists.
	RetryAfter time.Duration
}

const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

var answers = map[Kind]Answer{
	InvalidRequest:      {Status: http.StatusBadRequest, NotRun: true},
	Unauthenticated:     {Status: http.StatusUnauthorized, NotRun: true},
	Forbidden:           {Status: http.StatusForbidden, NotRun: true},
	NotFound:            {Status: http.StatusNotFound, NotRun: true},
	TooLarge:            {Status: http.StatusRequestEntityTooLarge, NotRun: true},
	TooManyConnections:  {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retrySoon},
	RateLimited:         {Status: http.StatusTooManyRequests, NotRun: true, Retry: true, RetryAfter: retrySoon},
	Overloaded:          {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retrySoon},
	DeadlineUnmeetable:  {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retrySoon},
	NoUpstream:          {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retrySoon},
	NoBundle:            {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retryLater},
	UpstreamFailed:      {Status: http.StatusBadGateway, Retry: true, RetryAfter: retrySoon},
	UpstreamRefused:     {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retrySoon},
	OutcomeUnknown:      {Status: http.StatusBadGateway},
	StreamBroken:        {Status: http.StatusBadGateway, Retry: true, RetryAfter: retrySoon},
	IdempotencyConflict: {Status: http.StatusUnprocessableEntity, NotRun: true},
	AlreadyClaimed:      {Status: http.StatusConflict},
	StoreUnavailable:    {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retryLater},
	ShuttingDown:        {Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, RetryAfter: retrySoon},
	Timeout:             {Status: http.StatusGatewayTimeout, Retry: true, RetryAfter: retrySoon},
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

// statusClientClosedRequest is the status logged for a caller that went away.
const statusClientClosedRequest = 499

// AnswerOf returns the answer of kind. An unlisted kind answers as Internal.
func AnswerOf(kind Kind) Answer {
	answer, ok := answers[kind]
	if !ok {
		return answers[Internal]
	}
	return answer
}

// Kinds returns every listed kind in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}
