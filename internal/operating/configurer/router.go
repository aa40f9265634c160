package configurer

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// Bounds of the router's settings.
const (
	maxDrainDelay   = 10 * time.Minute
	maxDrainTimeout = 24 * time.Hour
	maxBodyTimeout  = 10 * time.Minute
)

// RouterSettings say where the router listens and how it stops.
type RouterSettings struct {
	// CallerAddress takes requests of callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// OperatorAddress serves health, status and metrics.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// DrainDelay is how long a stopping router goes on accepting, until the
	// balancer has taken it out.
	DrainDelay checker.Duration `json:"drain_delay,omitzero"`
	// DrainTimeout is the longest wait for open requests after that.
	DrainTimeout checker.Duration `json:"drain_timeout,omitzero"`
	// MaxConnections bounds the open connections of callers.
	MaxConnections int `json:"max_connections,omitzero"`
	// BodyTimeout bounds the time in which a caller sends a request.
	BodyTimeout checker.Duration `json:"body_timeout,omitzero"`
}

func defaultRouter() RouterSettings {
	return RouterSettings{
		DrainDelay:     checker.Duration(5 * time.Second),
		DrainTimeout:   checker.Duration(10 * time.Minute),
		MaxConnections: 4096,
		BodyTimeout:    checker.Duration(30 * time.Second),
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
	return checkDuration("router.body_timeout", r.BodyTimeout, time.Second, maxBodyTimeout)
}
