package forwarder

import (
	"net/http"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/routing/withholder"
)

// Part is a segment of a prompt. Requests that name the same ID share it.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request to an engine.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxTokens that of the longest output.
	Tokens    int
	MaxTokens int
	// Parts lists the segments of the prompt in order; the last one is specific
	// to the request.
	Parts []Part
}

// Request is the decoded head of a client's request.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the client sent it, Path the same without
	// its query.
	Target string
	Path   string
	Host   string
	// APIKey identifies the organisation of the client; empty if not sent.
	APIKey string
	// Deadline is when the client stops waiting; zero if not specified.
	Deadline time.Time
	Prompt   Prompt
	// ResumeAfter is the ID of the last event that the client has received;
	// empty if it does not resume a stream.
	ResumeAfter string
	// Header holds the headers that are forwarded to an upstream.
	Header http.Header
}

// AttemptOptions holds what the gateway adds to a request for one attempt.
type AttemptOptions struct {
	Upstream string
	// Deadline is when the upstream may stop working on the request.
	Deadline     time.Time
	Organisation string
	// Priority is the urgency at an engine, 0 being the most urgent; negative
	// sends none.
	Priority int
	// CacheScope is the scope of the KV cache that may be used; empty for the
	// scope that organisations share.
	CacheScope string
	// WeightsVersion is the only version of the weights that may run the
	// request; 0 allows any.
	WeightsVersion uint64
	// FetchFrom is the engine or store to copy KV cache from; invalid for none.
	FetchFrom netip.AddrPort
	// SaveTo is the store to copy the KV cache of the prompt to; invalid for
	// none.
	SaveTo netip.AddrPort
	// ResumeAfter is the ID of the last event that the client has received.
	ResumeAfter string
}

// ResponseHead is the decoded head of an upstream's response.
type ResponseHead struct {
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// ClaimsNotRun is true if the status tells a client that the request was not run, whether
	// or not the upstream states that.
	ClaimsNotRun bool
	// Misdirected is true if the upstream is another instance, or has another
	// version of the weights, than the request expects.
	Misdirected bool
	// Instance is the ID of the responding instance, empty if not stated.
	Instance string
	// WeightsVersion is the version of the weights at the upstream, 0 if not
	// stated.
	WeightsVersion uint64
	// Notice is what the upstream states about itself.
	Notice withholder.Notice
}

// Dialect translates between the HTTP messages of a platform and the gateway's
// types.
type Dialect interface {
	// Decode parses the head of a client's request.
	Decode(now time.Time, r *http.Request) (Request, error)
	// Encode returns the headers of an attempt at an upstream.
	Encode(now time.Time, r *Request, o AttemptOptions) http.Header
	// SetDeadline sets the header that tells an upstream of the deadline.
	SetDeadline(now time.Time, h http.Header, deadline time.Time)
	// CheckResponse returns an error if a response is not signed, or does not
	// belong to the request with that ID. reused is true if its connection has
	// carried an earlier request.
	CheckResponse(id string, status int, h http.Header, reused bool) error
	// DecodeResponse parses the head of an upstream's response.
	DecodeResponse(status int, h http.Header) ResponseHead
	// CopyHeader copies the headers of an upstream's response that the client
	// gets.
	CopyHeader(to, from http.Header)
	// SetErrorHeader sets the headers of an error response of the gateway. A
	// wait other than zero is sent as the time after which to retry.
	SetErrorHeader(h http.Header, id string, wait time.Duration)
}
