package picker

// StateCount returns the number of upstreams whose state is kept.
func (p *Picker) StateCount() int { return len(p.states) }
