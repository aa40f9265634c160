package replicator

import "time"

const (
	defaultMaxPrefixes    = 1 << 16
	defaultHalfLife       = 10 * time.Second
	defaultReplicaRate    = 4
	defaultMinDwell       = 10 * time.Second
	defaultMaxReplicas    = 64
	defaultSharedRequests = 1.5
)

// Config is what a Replicator is made from. Zero values take defaults.
type Config struct {
	// MaxPrefixes bounds the prefixes whose rates are kept.
	MaxPrefixes int
	// HalfLife is the age at which a request counts half in a rate.
	HalfLife time.Duration
	// ReplicaRate is the rate, in requests per second over the whole region,
	// that one more replica carries.
	ReplicaRate float64
	// PeerFactor is the number of routers that share the requests of a region.
	PeerFactor float64
	// MinDwell is the shortest time before the number of replicas falls.
	MinDwell time.Duration
	// MaxReplicas bounds the replicas of one prefix.
	MaxReplicas int
	// SharedRequests is the weight of recent requests from which on a prefix
	// counts as shared.
	SharedRequests float64
}

func (c Config) withDefaults() Config {
	if c.MaxPrefixes <= 0 {
		c.MaxPrefixes = defaultMaxPrefixes
	}
	if c.HalfLife <= 0 {
		c.HalfLife = defaultHalfLife
	}
	if c.ReplicaRate <= 0 {
		c.ReplicaRate = defaultReplicaRate
	}
	if c.MinDwell <= 0 {
		c.MinDwell = defaultMinDwell
	}
	if c.MaxReplicas <= 0 {
		c.MaxReplicas = defaultMaxReplicas
	}
	if c.SharedRequests <= 0 {
		c.SharedRequests = defaultSharedRequests
	}
	c.PeerFactor = max(c.PeerFactor, 1)
	return c
}
