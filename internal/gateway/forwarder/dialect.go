package forwarder

import (
	"net/http"
	"net/netip"
	"time"
)

// Part is one piece of a prompt, shared by the requests that name its ID.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the work that a request asks of an engine.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxTokens the longest answer.
	Tokens    int
	MaxTokens int
	// Parts lists the prompt's pieces in order; the last one is the request's own.
	Parts []Part
}

// Request is what a client asks for.
type Request struct {
	ID     string
	Method string
	// Target is the request target as it was sent, Path is it without a query.
	Target string
	Path   string
	Host   string
	Key    string
	// Deadline is when the client stops waiting; zero where it does not say.
	Deadline time.Time
	Prompt   Prompt
	// ResumeAfter is the ID of the last event that the client has; empty where
	// it starts anew.
	ResumeAfter string
	// Header holds the headers that go on to an upstream.
	Header http.Header
}

// Send is what goes with a request to one upstream.
type Send struct {
	Upstream string
	// Deadline is when the upstream may stop its work.
	Deadline     time.Time
	Organisation string
	// Rank is the urgency at an engine, 0 is first; negative sets none.
	Rank int
	// CacheScope names what kept cache may be used; empty is the common one.
	CacheScope string
	// Weights is the only version that may run the request; 0 allows any.
	Weights uint64
	// FetchFrom is an engine or store to copy kept cache from; invalid for none.
	FetchFrom netip.AddrPort
	// SaveTo is a store to copy what was read to; invalid for none.
	SaveTo      netip.AddrPort
	ResumeAfter string
}

// Reply is the head of an upstream's answer.
type Reply struct {
	// NotRun is true where the upstream says that it did not run the request.
	NotRun bool
	// Mismatch is true where the upstream is not the one that was expected: by
	// its run or by its weights.
	Mismatch bool
	// Instance is the run that answers, empty where not said.
	Instance string
	// Weights is the version of the weights that answers, 0 where not said.
	Weights uint64
}

// Dialect translates between HTTP messages and the gateway's types.
type Dialect interface {
	// Decode reads the head of a client's request.
	Decode(now time.Time, r *http.Request) (Request, error)
	// Encode returns the headers of a request to an upstream.
	Encode(now time.Time, r *Request, s Send) http.Header
	// Check reports an answer that is not to the request with that ID.
	Check(id string, status int, h http.Header) error
	// Reply reads the head of an upstream's answer.
	Reply(status int, h http.Header) Reply
	// Forward copies the headers of an upstream's answer for the client.
	Forward(to, from http.Header)
	// Refuse sets the headers of an answer of the gateway's own. It names the
	// time to come back where that is not zero.
	Refuse(h http.Header, id string, wait time.Duration)
}
