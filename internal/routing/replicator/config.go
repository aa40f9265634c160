package replicator

import "time"

const (
	defaultMaxPrefixes     = 1 << 16
	defaultHalfLife        = 10 * time.Second
	defaultMaxPrefixShare  = 0.5
	defaultMinDwell        = 10 * time.Second
	defaultMaxReplicas     = 64
	defaultMinSharedWeight = 1.5
)

// Config holds the parameters of a Replicator. Zero values are replaced by defaults.
type Config struct {
	// MaxPrefixes is the maximum number of tracked prefixes. The least recently
	// used one is evicted.
	MaxPrefixes int
	// HalfLife is the half-life of the exponential decay of request weights.
	HalfLife time.Duration
	// MaxPrefixShare is the share of an upstream's average load that the requests for
	// one prefix may contribute before the prefix counts as hot.
	MaxPrefixShare float64
	// MinDwell is the time for which the load has to stay low before a replica is
	// removed.
	MinDwell time.Duration
	// MaxReplicas is the maximum number of replicas of one prefix.
	MaxReplicas int
	// MinSharedWeight is the decayed number of requests from which a prefix counts
	// as shared.
	MinSharedWeight float64
}

func (c Config) withDefaults() Config {
	if c.MaxPrefixes <= 0 {
		c.MaxPrefixes = defaultMaxPrefixes
	}
	if c.HalfLife <= 0 {
		c.HalfLife = defaultHalfLife
	}
	if c.MaxPrefixShare <= 0 {
		c.MaxPrefixShare = defaultMaxPrefixShare
	}
	if c.MinDwell <= 0 {
		c.MinDwell = defaultMinDwell
	}
	if c.MaxReplicas <= 0 {
		c.MaxReplicas = defaultMaxReplicas
	}
	if c.MinSharedWeight <= 0 {
		c.MinSharedWeight = defaultMinSharedWeight
	}
	return c
}
