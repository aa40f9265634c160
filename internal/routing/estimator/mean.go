package estimator

// fleetMean is the mean of the latest reports of all upstreams.
type fleetMean struct {
	// requestsPerSlot is the number of queued and running requests per slot.
	requestsPerSlot float64
	// blocks is the number of queued blocks per upstream.
	blocks float64
}

func meanOf(states []*upstreamState) fleetMean {
	var requests, slots, blocks, n float64
	for _, s := range states {
		if s.report.ReportedAt.IsZero() {
			continue
		}
		requests += float64(s.report.Queued + s.report.Running)
		slots += float64(max(s.upstream.Slots, 1))
		blocks += float64(s.report.QueuedBlocks)
		n++
	}
	if n == 0 {
		return fleetMean{}
	}
	return fleetMean{requestsPerSlot: requests / slots, blocks: blocks / n}
}
