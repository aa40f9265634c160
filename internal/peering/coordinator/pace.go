package coordinator

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minPushInterval is the shortest time between two messages to one VM.
	minPushInterval = 20 * time.Millisecond
	// messageCost is the processor time of receiving a report and of sending a
	// message, together.
	messageCost = 80 * time.Microsecond
	// hubShare is the share of the VM's processors and of its link that the exchange
	// with the other VMs may take; the rest serves clients.
	hubShare = 0.15
	// keepAliveInterval is the longest time between two messages in either
	// direction: the receiver ignores loads that are older than about that.
	keepAliveInterval = 500 * time.Millisecond
	// fullStateBurst is the burst of bytes of full states. It has room for the
	// largest one.
	fullStateBurst = maxMessageBytes
)

// Capacity is what the hub's VM can do for the other VMs.
type Capacity struct {
	// LinkBytesPerSecond is the rate of its network link, Processors the processor
	// time that it has per unit of time. 0 sets no bound.
	LinkBytesPerSecond float64
	Processors         float64
}

// pushInterval returns the time between two messages to each of a number of VMs.
//
// Load: hundreds of VMs whose requests change the loads all the time, with a hub on
// a VM of a fraction of a processor. Messages at a fixed interval fill its link and
// delay the renewal of its lease.
func (c Capacity) pushInterval(vms, messageBytes int) time.Duration {
	interval := minPushInterval
	if c.Processors > 0 {
		interval = max(interval, time.Duration(float64(vms)*float64(messageCost)/(hubShare*c.Processors)))
	}
	if c.LinkBytesPerSecond > 0 {
		seconds := float64(vms*messageBytes) / (hubShare * c.LinkBytesPerSecond)
		interval = max(interval, time.Duration(seconds*float64(time.Second)))
	}
	return interval
}

// fullStateLimiter returns the limiter of the bytes of full states, which are sent
// to all VMs at once when the hub moves.
func (c Capacity) fullStateLimiter() *rate.Limiter {
	if c.LinkBytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, fullStateBurst)
	}
	return rate.NewLimiter(rate.Limit(hubShare*c.LinkBytesPerSecond), fullStateBurst)
}
