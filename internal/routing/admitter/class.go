package admitter

// class schedules the flows of one priority by start-time fair queueing (SFQ).
type class struct {
	flows  map[string]*flow
	active indexedHeap[*flow]
	// activeWeight is the total weight of the flows with waiting requests.
	activeWeight int
	// virtualTime is the highest start tag of the requests started until now.
	virtualTime float64
	// queuedCost is the total cost of the waiting requests, in tokens.
	queuedCost float64
	waiting    int
	running    int
}

func newClass() *class {
	return &class{flows: make(map[string]*flow)}
}

// flowOf returns the flow of an organisation and updates its weight. The start
// tag of an idle flow is raised to the current virtual time, so that a flow
// accumulates no credit while it is idle.
func (c *class) flowOf(organisation string, weight int) *flow {
	f, ok := c.flows[organisation]
	if !ok {
		f = &flow{organisation: organisation, weight: weight, startTag: c.virtualTime, index: inactiveIndex}
		c.flows[organisation] = f
	}
	if f.index == inactiveIndex {
		f.startTag = max(f.startTag, c.virtualTime)
		f.weight = weight
		return f
	}
	c.activeWeight += weight - f.weight
	f.weight = weight
	return f
}

func (c *class) enqueue(w *waiter) {
	f := w.flow
	f.queue = append(f.queue, w)
	f.queuedCost += w.request.Cost
	c.queuedCost += w.request.Cost
	c.waiting++
	if f.index != inactiveIndex {
		return
	}
	c.active.add(f)
	c.activeWeight += f.weight
}

func (c *class) removeWaiter(w *waiter) {
	f := w.flow
	f.removeWaiter(w)
	c.queuedCost -= w.request.Cost
	c.waiting--
	if len(f.queue) > 0 {
		return
	}
	c.active.remove(f.index)
	f.index = inactiveIndex
	f.queuedCost = 0
	c.activeWeight -= f.weight
}

// peek returns the next request in service order without removing it.
func (c *class) peek() *waiter {
	f, ok := c.active.peek()
	if !ok {
		return nil
	}
	return f.queue[0]
}

// startRequest charges the flow for a request that occupies a slot from now on.
func (c *class) startRequest(f *flow, cost float64) {
	c.virtualTime = max(c.virtualTime, f.startTag)
	c.charge(f, cost)
	f.running++
	c.running++
}

// finishRequest releases a slot and corrects the charge by the difference
// between the actual and the estimated cost.
func (c *class) finishRequest(f *flow, correction float64) {
	f.running--
	c.running--
	c.charge(f, correction)
}

func (c *class) charge(f *flow, cost float64) {
	f.charge(cost)
	if f.index != inactiveIndex {
		c.active.fix(f.index)
	}
}

// costAhead returns the total cost of the waiting requests that are served
// before a new request of f.
func (c *class) costAhead(f *flow) float64 {
	due := f.startTag + f.backlog()
	sum := f.queuedCost
	for _, other := range c.active.items {
		if other == f || other.startTag >= due {
			continue
		}
		sum += other.costBefore(due)
	}
	return sum
}

// largestBacklog returns the active flow with the highest queued cost per
// weight, or nil if no flow is active.
func (c *class) largestBacklog() *flow {
	var largest *flow
	for _, f := range c.active.items {
		if largest == nil || f.backlog() > largest.backlog() {
			largest = f
		}
	}
	return largest
}

// pruneIdleFlows deletes idle flows whose start tag is not ahead of the virtual
// time. A flow whose tag is ahead is kept, because a new flow would start
// without that debt.
func (c *class) pruneIdleFlows() {
	for name, f := range c.flows {
		if f.index == inactiveIndex && f.running == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}
