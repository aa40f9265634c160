package picker

// Known returns the number of upstreams whose state is kept.
func (p *Picker) Known() int { return len(p.states) }
