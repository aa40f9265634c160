package configurer

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// Upper limits of durations in the router's settings.
const (
	maxDrainDelay   = 10 * time.Minute
	maxDrainTimeout = 24 * time.Hour
	maxBodyTimeout  = 10 * time.Minute
)

// Limits of the router's memory in MB. With the least one a body of the maximum size, which is
// held in three copies, has its place.
const (
	minMemoryMB = 160
	maxMemoryMB = 1 << 20
)

// RouterSettings hold the listen addresses, limits and shutdown delays of the
// router.
type RouterSettings struct {
	// CallerAddress accepts requests from callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// OperatorAddress serves health, status and metrics.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// DrainDelay is how long a router that shuts down keeps accepting requests,
	// so that the load balancer can remove it first.
	DrainDelay checker.Duration `json:"drain_delay,omitzero"`
	// DrainTimeout is the maximum wait for open requests after DrainDelay.
	DrainTimeout checker.Duration `json:"drain_timeout,omitzero"`
	// MaxConnections limits the open connections of callers.
	MaxConnections int `json:"max_connections,omitzero"`
	// BodyTimeout limits the time a caller may take to send a request body.
	BodyTimeout checker.Duration `json:"body_timeout,omitzero"`
	// MemoryMB is the memory of the process in MB. Requests are refused before they exceed it.
	MemoryMB int `json:"memory_mb,omitzero"`
}

func defaultRouter() RouterSettings {
	return RouterSettings{
		DrainDelay:     checker.Duration(5 * time.Second),
		DrainTimeout:   checker.Duration(10 * time.Minute),
		MaxConnections: 4096,
		BodyTimeout:    checker.Duration(30 * time.Second),
		MemoryMB:       2048,
	}
}

func (r RouterSettings) check() error {
	if err := checkListenAddress("router.caller_address", r.CallerAddress); err != nil {
		return err
	}
	if err := checkListenAddress("router.operator_address", r.OperatorAddress); err != nil {
		return err
	}
	if err := checkDuration("router.drain_delay", r.DrainDelay, 0, maxDrainDelay); err != nil {
		return err
	}
	if err := checkDuration("router.drain_timeout", r.DrainTimeout, time.Second, maxDrainTimeout); err != nil {
		return err
	}
	if err := checkCount("router.max_connections", r.MaxConnections); err != nil {
		return err
	}
	if r.MemoryMB < minMemoryMB || r.MemoryMB > maxMemoryMB {
		return invalid("router.memory_mb", "got %d, want %d to %d", r.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	return checkDuration("router.body_timeout", r.BodyTimeout, time.Second, maxBodyTimeout)
}
