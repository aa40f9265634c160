package replicator

import "time"

const (
	defaultMaxPrefixes    = 1 << 16
	defaultHalfLife       = 10 * time.Second
	defaultHomeShare      = 0.5
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
	// HomeShare is the share of an upstream's average load that the requests of
	// one prefix may make up.
	HomeShare float64
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
	if c.HomeShare <= 0 {
		c.HomeShare = defaultHomeShare
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
	return c
}
