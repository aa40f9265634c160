package reporter

import (
	"fmt"
	"io"

	"gentianstep.example/gentianstep/internal/standin/rehearser"
)

// summary holds the sums of the results of one policy under one load over all
// seeds, and the lowest share of the bound that a seed reached.
type summary struct {
	load, policy                              string
	seeds, requests, inTime, late, refused    int
	benefit, maxBenefit, bound, minBoundShare float64
	prefillTokens, recomputedTokens           int
	afterNotices                              int
}

// summarise sums results by load and policy, in order of first appearance.
func summarise(results []rehearser.Result) []summary {
	var list []summary
	index := make(map[[2]string]int)
	for _, r := range results {
		key := [2]string{r.Load, r.Policy}
		n, ok := index[key]
		if !ok {
			n = len(list)
			index[key] = n
			list = append(list, summary{load: r.Load, policy: r.Policy, minBoundShare: 1})
		}
		s := &list[n]
		s.seeds++
		s.requests += r.Requests
		s.inTime += r.InTime
		s.late += r.Late
		s.refused += r.Refused
		s.benefit += r.Benefit
		s.maxBenefit += r.MaxBenefit
		s.bound += r.Bound
		s.minBoundShare = min(s.minBoundShare, r.Benefit/r.Bound)
		s.prefillTokens += r.PrefillTokens
		s.recomputedTokens += r.RecomputedTokens
		s.afterNotices += r.AfterNotices
	}
	return list
}

const rehearsalHeader = `
Requests come from the files of deploy/loads. The model of engines reads prompts
one after the other and keeps the shared parts that were used last; VMs hear of
each other's requests with a delay. The bound is what a scheduler that knows all
requests could earn at most if shared parts cost nothing to read and requests
could be divided among engines. Sums over the seeds; "least" is the lowest share
of one seed. "After notices" counts requests that reached an engine although a response
to the same VM had stated that it leaves or wants none; the two simple policies do not consider that.

| load | policy | requests | in time | late | refused | earned of owed | bound of owed | earned of bound | least | tokens read | read again | after notices |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// Rehearsals writes a Markdown page with the results of policies under loads.
func Rehearsals(w io.Writer, title string, results []rehearser.Result) error {
	_, err := fmt.Fprintf(w, "# Policies against a bound\n\nWritten by `%s`.\n%s", title, rehearsalHeader)
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	for _, s := range summarise(results) {
		_, err := fmt.Fprintf(w, "| %s | `%s` | %d | %d | %d | %d | %.3f | %.3f | %.3f | %.3f | %d | %d | %d |\n",
			s.load, s.policy, s.requests, s.inTime, s.late, s.refused,
			s.benefit/s.maxBenefit, s.bound/s.maxBenefit, s.benefit/s.bound, s.minBoundShare, s.prefillTokens, s.recomputedTokens, s.afterNotices)
		if err != nil {
			return fmt.Errorf("write page: %w", err)
		}
	}
	if _, err := io.WriteString(w, "\n![Benefit as a share of the bound](rehearsal.png)\n\n![Benefit of each second as engines are lost and return](recovery.png)\n"); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
