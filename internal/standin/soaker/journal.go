package soaker

import (
	"slices"
	"sync"
	"time"
)

// Outcome is how a call ended for its caller.
type Outcome string

// Outcomes of calls.
const (
	// Answered is a complete successful response.
	Answered Outcome = "answered"
	// Refused is a response that promises that the call was and will not be run.
	Refused Outcome = "refused"
	// Denied is a response that the call is not allowed.
	Denied Outcome = "denied"
	// Failed is any other complete response. It promises nothing.
	Failed Outcome = "failed"
	// Broken is a connection that ended before a complete response.
	Broken Outcome = "broken"
	// GivenUp is a call without a complete response when the caller stopped waiting.
	GivenUp Outcome = "given_up"
)

// isComplete reports whether the caller got a complete response.
func (o Outcome) isComplete() bool { return o != Broken && o != GivenUp }

// Call is a request that a caller sent.
type Call struct {
	ID      string `json:"id"`
	Route   string `json:"route"`
	Service string `json:"service,omitempty"`
	Key     string `json:"key"`
	// Organisation is that of the key.
	Organisation string `json:"organisation,omitempty"`
	Gateway      string `json:"gateway"`
	// Process is the number of the gateway's process when the call was sent.
	Process int `json:"process"`
	// Repeatable is true if the call may be run more than once.
	Repeatable bool `json:"repeatable"`
	// Hasty is true if the caller waits for a part of the usual time only.
	Hasty bool `json:"hasty,omitempty"`
	// Part is the part of the prompt that crashes engines, if the call has it.
	Part    string    `json:"part,omitempty"`
	BeganAt time.Time `json:"began_at"`
	// SentAt is when the last byte was written, zero if it was not.
	SentAt  time.Time `json:"sent_at"`
	EndedAt time.Time `json:"ended_at"`
	Outcome Outcome   `json:"outcome"`
	Status  int       `json:"status"`
	// Upstream is the upstream that the response names, if any.
	Upstream string `json:"upstream,omitempty"`
	// Leaving is true if the response states that its upstream is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is the limit that the response states, if any.
	Limit string `json:"limit,omitempty"`
	// Mixed says in which way the response is not that of an upstream to this call,
	// Disordered in which way a stream is not whole and in order.
	Mixed      string `json:"mixed,omitempty"`
	Disordered string `json:"disordered,omitempty"`
	Error      string `json:"error,omitempty"`
}

// Arrival is the receipt of a call at an upstream, whether it is run or not.
type Arrival struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Place is where the upstream runs: the target of steps, unlike the name of the
	// upstream, which another one may have taken over from.
	Place string `json:"place"`
	// Upstream is the ID of the upstream, and Process identifies its process. They are empty
	// for a call that was meant for another upstream.
	Upstream string    `json:"upstream,omitempty"`
	Process  string    `json:"process,omitempty"`
	At       time.Time `json:"at"`
}

// Run is a call that an upstream ran.
type Run struct {
	ID       string `json:"id"`
	Upstream string `json:"upstream"`
	Route    string `json:"route"`
	// Altered is true if what arrived is not what the caller sent.
	Altered bool `json:"altered,omitempty"`
	// Organisation, Amount and At are what the run uses of whose quota, and when it began.
	Organisation string    `json:"organisation,omitempty"`
	Amount       float64   `json:"amount,omitempty"`
	At           time.Time `json:"at"`
}

// Order is an order that an engine received.
type Order struct {
	Engine   string    `json:"engine"`
	Holder   string    `json:"holder"`
	Number   uint64    `json:"number"`
	Accepted bool      `json:"accepted"`
	At       time.Time `json:"at"`
}

// Span is the time of a step that was carried out.
type Span struct {
	Step Step `json:"step"`
	// BeginAt and EndAt are the actual times; EndAt is zero while the step lasts.
	BeginAt time.Time `json:"begin_at"`
	EndAt   time.Time `json:"end_at"`
}

// Record is what callers and upstreams saw, and what was done to the system.
type Record struct {
	Calls    []Call        `json:"calls"`
	Arrivals []Arrival     `json:"arrivals"`
	Runs     []Run         `json:"runs"`
	Orders   []Order       `json:"orders"`
	Crashes  []EngineCrash `json:"crashes,omitempty"`
	// Broken lists the calls whose streams upstreams have broken on purpose.
	Broken []string `json:"broken,omitempty"`
	Spans  []Span   `json:"spans"`
	// EndAt is when all gateways were ready after the last step.
	EndAt time.Time `json:"end_at"`
}

// Journal collects the record of a soak. It is safe for concurrent use.
type Journal struct {
	mu         sync.Mutex
	calls      []Call
	spans      []Span
	violations []Violation
}

// AddCall adds a call that has ended.
func (j *Journal) AddCall(c Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

// Violate adds a violation.
func (j *Journal) Violate(v Violation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, v)
}

// begin notes the begin of a step and returns a function that notes its end.
func (j *Journal) begin(s Step) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(j.spans)
	j.spans = append(j.spans, Span{Step: s, BeginAt: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.spans[i].EndAt = time.Now()
	}
}

// copies returns what has been collected so far.
func (j *Journal) copies() ([]Call, []Span, []Violation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.calls), slices.Clone(j.spans), slices.Clone(j.violations)
}
