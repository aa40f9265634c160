package estimator

// mean is the mean of the latest reports of all upstreams.
type mean struct {
	// load is the number of requests per slot.
	load float64
	// blocks is the number of queued blocks of one upstream.
	blocks float64
}

func meanOf(beliefs []*belief) mean {
	var requests, slots, blocks, n float64
	for _, b := range beliefs {
		if b.report.ReportedAt.IsZero() {
			continue
		}
		requests += float64(b.report.Queued + b.report.Running)
		slots += float64(max(b.upstream.Slots, 1))
		blocks += float64(b.report.QueuedBlocks)
		n++
	}
	if n == 0 {
		return mean{}
	}
	return mean{load: requests / slots, blocks: blocks / n}
}
