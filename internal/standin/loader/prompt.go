package loader

import (
	"fmt"
	"strings"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// prompts generates the text of prompts and caches their shared parts.
type prompts struct {
	workload Workload
	parts    map[string]string
}

func newPrompts(w Workload) *prompts {
	return &prompts{workload: w, parts: make(map[string]string)}
}

// text returns the prompt of an arrival.
func (p *prompts) text(a Arrival) string {
	var text strings.Builder
	name := ""
	for i, level := range p.workload.Levels {
		name = fmt.Sprintf("%s/%s-%d", name, level.Name, a.Path[i])
		text.WriteString(p.sharedPart(name, level.Blocks))
	}
	text.WriteString(fillBlocks(fmt.Sprintf("tail-%x", a.Tail), p.workload.TailBlocks))
	return text.String()
}

func (p *prompts) sharedPart(name string, blocks int) string {
	part, ok := p.parts[name]
	if !ok {
		part = fillBlocks(name, blocks)
		p.parts[name] = part
	}
	return part
}

// fillBlocks returns text of the given number of blocks. Each line of it starts with
// name, which makes texts of different names differ.
func fillBlocks(name string, blocks int) string {
	size := blocks * hasher.BlockBytes
	var text strings.Builder
	for line := 0; text.Len() < size; line++ {
		_, _ = fmt.Fprintf(&text, "%s line %d. ", name, line)
	}
	return text.String()[:size]
}
