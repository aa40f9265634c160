// Package hoster runs many simulated engines in one process. It generates the
// settings and bundles of a deployment on the loopback address.
package hoster

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"gentianstep.example/gentianstep/internal/standin/loader"
)

// Offsets of ports from the base port of a plan.
const (
	platformPort    = 0
	hosterPort      = 1
	firstVMPort     = 10
	portsPerVM      = 10
	firstEnginePort = 200
)

// EnginePlan describes an engine of a plan.
type EnginePlan struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
}

// VMPlan describes a VM of a plan and its listen addresses.
type VMPlan struct {
	Name       string         `json:"name"`
	Region     string         `json:"region"`
	Caller     netip.AddrPort `json:"caller"`
	Operator   netip.AddrPort `json:"operator"`
	Peer       netip.AddrPort `json:"peer"`
	Controller netip.AddrPort `json:"controller"`
}

// Plan describes a deployment on the loopback address.
type Plan struct {
	Workload string         `json:"workload"`
	Platform netip.AddrPort `json:"platform"`
	Hoster   netip.AddrPort `json:"hoster"`
	VMs      []VMPlan       `json:"vms"`
	Engines  []EnginePlan   `json:"engines"`
	// The remaining fields configure each simulated engine.
	Slots           int           `json:"slots"`
	CacheBlocks     int           `json:"cache_blocks"`
	PrefillPerBlock time.Duration `json:"prefill_per_block"`
	TokenInterval   time.Duration `json:"token_interval"`
	EventDelay      time.Duration `json:"event_delay"`
}

// NewPlan returns a plan of the given number of VMs and an engine for each worker
// of w. It assigns the ports from basePort on.
func NewPlan(w loader.Workload, vms, basePort int) Plan {
	addressAt := func(offset int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(basePort+offset))
	}
	p := Plan{
		Workload:        w.Name,
		Platform:        addressAt(platformPort),
		Hoster:          addressAt(hosterPort),
		Slots:           8,
		CacheBlocks:     3000,
		PrefillPerBlock: w.PrefillPerBlock,
		TokenInterval:   20 * time.Millisecond,
		EventDelay:      100 * time.Millisecond,
	}
	for i := range vms {
		base := firstVMPort + portsPerVM*i
		p.VMs = append(p.VMs, VMPlan{
			Name:       fmt.Sprintf("vm-%d", i+1),
			Region:     w.Regions[i%len(w.Regions)],
			Caller:     addressAt(base),
			Operator:   addressAt(base + 1),
			Peer:       addressAt(base + 2),
			Controller: addressAt(base + 3),
		})
	}
	for i := range w.Workers {
		p.Engines = append(p.Engines, EnginePlan{
			Name:    fmt.Sprintf("%s-%02d", w.Model, i+1),
			Region:  w.Regions[i%len(w.Regions)],
			Address: addressAt(firstEnginePort + i),
		})
	}
	return p
}

// ReadPlan reads a plan from a JSON file.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return Plan{}, fmt.Errorf("decode plan: %w", err)
	}
	return p, nil
}
