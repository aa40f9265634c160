// Package hoster runs many engine stand-ins in one process and lays out the
// settings and bundles of a whole deployment on loopback.
package hoster

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"gentianstep.example/gentianstep/internal/standin/loader"
)

// Port offsets from the base port of a plan.
const (
	platformPort    = 0
	hosterPort      = 1
	firstVMPort     = 10
	portsPerVM      = 10
	firstEnginePort = 200
)

// EnginePlan is one engine of a plan.
type EnginePlan struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
}

// VMPlan is one VM of a plan.
type VMPlan struct {
	Name       string         `json:"name"`
	Region     string         `json:"region"`
	Caller     netip.AddrPort `json:"caller"`
	Operator   netip.AddrPort `json:"operator"`
	Peer       netip.AddrPort `json:"peer"`
	Controller netip.AddrPort `json:"controller"`
}

// Plan is a deployment on loopback.
type Plan struct {
	Workload string         `json:"workload"`
	Platform netip.AddrPort `json:"platform"`
	Hoster   netip.AddrPort `json:"hoster"`
	VMs      []VMPlan       `json:"vms"`
	Engines  []EnginePlan   `json:"engines"`
	// The engine model.
	Slots           int           `json:"slots"`
	CacheBlocks     int           `json:"cache_blocks"`
	PrefillPerBlock time.Duration `json:"prefill_per_block"`
	TokenInterval   time.Duration `json:"token_interval"`
	EventDelay      time.Duration `json:"event_delay"`
}

// NewPlan lays out vms VMs and the workers of w from basePort on.
func NewPlan(w loader.Workload, vms, basePort int) Plan {
	at := func(offset int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(basePort+offset))
	}
	p := Plan{
		Workload:        w.Name,
		Platform:        at(platformPort),
		Hoster:          at(hosterPort),
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
			Caller:     at(base),
			Operator:   at(base + 1),
			Peer:       at(base + 2),
			Controller: at(base + 3),
		})
	}
	for i := range w.Workers {
		p.Engines = append(p.Engines, EnginePlan{
			Name:    fmt.Sprintf("%s-%02d", w.Model, i+1),
			Region:  w.Regions[i%len(w.Regions)],
			Address: at(firstEnginePort + i),
		})
	}
	return p
}

// ReadPlan reads a plan from a file.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	return p, nil
}
