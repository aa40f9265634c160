package soaker

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// Promise is a promise of the system that a soak checks.
type Promise string

// Promises that a soak checks.
const (
	AtMostOnce   Promise = "at_most_once"
	TrueRefusal  Promise = "true_refusal"
	WholeStream  Promise = "whole_stream"
	OwnAnswer    Promise = "own_answer"
	Unaltered    Promise = "unaltered"
	NothingLost  Promise = "nothing_lost"
	Cancelled    Promise = "cancelled"
	KeyRevoked   Promise = "key_revoked"
	KeyAllowed   Promise = "key_allowed"
	OneHolder    Promise = "one_holder"
	RetryBudget  Promise = "retry_budget"
	Recovery     Promise = "recovery"
	OwnEnd       Promise = "no_own_end"
	MemoryLimit  Promise = "memory_limit"
	Growth       Promise = "growth"
	NewerWeights Promise = "newer_weights"
	LeftAlone    Promise = "left_alone"
	// Quarantine is that calls which crash engines do not reach them without an end.
	Quarantine Promise = "quarantine"
	// WithinLimit is that upstreams get as many calls as the limits allow that they state.
	WithinLimit Promise = "within_limit"
	// WithinQuota is that organisations use as much as their quotas allow, and QuotaRefusal
	// that only those that use more are refused for it.
	WithinQuota  Promise = "within_quota"
	QuotaRefusal Promise = "quota_refusal"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// Subject is the ID of a call or the name of a process.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Verdict is the result of a soak.
type Verdict struct {
	Seed       uint64      `json:"seed"`
	Steps      int         `json:"steps"`
	Calls      int         `json:"calls"`
	Answered   int         `json:"answered"`
	Starts     int         `json:"starts"`
	Violations []Violation `json:"violations"`
}

// Passes reports whether no promise was broken.
func (v Verdict) Passes() bool { return len(v.Violations) == 0 }

// maxPrinted is the maximum number of violations that Print prints.
const maxPrinted = 12

// Print writes the verdict as text.
func (v Verdict) Print(w io.Writer) {
	word := "PASS"
	if !v.Passes() {
		word = "FAIL"
	}
	fmt.Fprintf(w, "%s seed %d: %d steps, %d calls, %d answered, %d starts of gateways, %d violations\n",
		word, v.Seed, v.Steps, v.Calls, v.Answered, v.Starts, len(v.Violations))
	for _, b := range v.Violations[:min(len(v.Violations), maxPrinted)] {
		fmt.Fprintf(w, "  %s %s: %s\n", b.Promise, b.Subject, b.Detail)
	}
}

// sortViolations orders violations by promise and subject.
func sortViolations(list []Violation) {
	slices.SortStableFunc(list, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.Subject, b.Subject))
	})
}
