package loader

import (
	"fmt"
	"strings"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// prompts makes the text of prompts and keeps the shared parts.
type prompts struct {
	workload Workload
	parts    map[string]string
}

func newPrompts(w Workload) *prompts {
	return &prompts{workload: w, parts: make(map[string]string)}
}

// text returns the prompt of a.
func (p *prompts) text(a Arrival) string {
	var text strings.Builder
	name := ""
	for i, level := range p.workload.Levels {
		name = fmt.Sprintf("%s/%s-%d", name, level.Name, a.Path[i])
		text.WriteString(p.part(name, level.Blocks))
	}
	text.WriteString(fill(fmt.Sprintf("tail-%x", a.Tail), p.workload.TailBlocks))
	return text.String()
}

func (p *prompts) part(name string, blocks int) string {
	part, ok := p.parts[name]
	if !ok {
		part = fill(name, blocks)
		p.parts[name] = part
	}
	return part
}

// fill returns the given number of blocks of text that names its source.
func fill(name string, blocks int) string {
	size := blocks * hasher.BlockBytes
	var text strings.Builder
	for line := 0; text.Len() < size; line++ {
		_, _ = fmt.Fprintf(&text, "%s line %d. ", name, line)
	}
	return text.String()[:size]
}
