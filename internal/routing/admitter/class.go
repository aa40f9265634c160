package admitter

// class holds the flows of one priority and serves them by start-time fair
// queueing.
type class struct {
	flows  map[string]*flow
	active ordered[*flow]
	// activeWeight sums the weights of the flows that have something waiting.
	activeWeight int
	// virtual is the pass of the flow that was served last.
	virtual float64
	// queuedCost is the work that waits, in tokens.
	queuedCost float64
	waiting    int
	running    int
}

func newClass() *class {
	return &class{flows: make(map[string]*flow)}
}

// flowOf returns the flow of an organisation. A flow that was idle starts at
// the present virtual time, so that idleness earns no credit.
func (c *class) flowOf(organisation string, weight int) *flow {
	f, ok := c.flows[organisation]
	if !ok {
		f = &flow{organisation: organisation, weight: weight, pass: c.virtual, index: inactive}
		c.flows[organisation] = f
	}
	if f.index == inactive {
		f.pass = max(f.pass, c.virtual)
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
	if f.index != inactive {
		return
	}
	c.active.add(f)
	c.activeWeight += f.weight
}

func (c *class) remove(w *waiter) {
	f := w.flow
	f.drop(w)
	c.queuedCost -= w.request.Cost
	c.waiting--
	if len(f.queue) > 0 {
		return
	}
	c.active.remove(f.index)
	f.index = inactive
	f.queuedCost = 0
	c.activeWeight -= f.weight
}

// next returns the request that is due first, without removing it.
func (c *class) next() *waiter {
	f, ok := c.active.first()
	if !ok {
		return nil
	}
	return f.queue[0]
}

// start charges the flow for a request that takes a slot.
func (c *class) start(f *flow, cost float64) {
	c.virtual = max(c.virtual, f.pass)
	c.charge(f, cost)
	f.running++
	c.running++
}

// finish returns a slot and corrects the charge by the work really done.
func (c *class) finish(f *flow, correction float64) {
	f.running--
	c.running--
	c.charge(f, correction)
}

func (c *class) charge(f *flow, cost float64) {
	f.charge(cost)
	if f.index != inactive {
		c.active.moved(f.index)
	}
}

// costAhead sums the waiting work that is due before a new request of f.
func (c *class) costAhead(f *flow) float64 {
	due := f.pass + f.backlog()
	sum := f.queuedCost
	for _, other := range c.active.items {
		if other == f || other.pass >= due {
			continue
		}
		sum += other.costBefore(due)
	}
	return sum
}

// longest returns the flow with the most waiting work for its weight.
func (c *class) longest() *flow {
	var longest *flow
	for _, f := range c.active.items {
		if longest == nil || f.backlog() > longest.backlog() {
			longest = f
		}
	}
	return longest
}

// prune forgets the flows that are idle and owe nothing.
func (c *class) prune() {
	for name, f := range c.flows {
		if f.index == inactive && f.running == 0 && f.pass <= c.virtual {
			delete(c.flows, name)
		}
	}
}
