package indexer

import "time"

const (
	defaultMaxRecords  = 1 << 20
	defaultUnsureTTL   = 30 * time.Second
	defaultMaxHoldings = 32
)

// Config is what an Index is made from. Zero values take defaults.
type Config struct {
	// MaxRecords bounds the number of records, and by it the memory.
	MaxRecords int
	// UnsureTTL bounds the time that records from before a gap still count.
	UnsureTTL time.Duration
	// MaxHoldings bounds the upstreams that one lookup returns.
	MaxHoldings int
}

func (c Config) withDefaults() Config {
	if c.MaxRecords <= 0 {
		c.MaxRecords = defaultMaxRecords
	}
	if c.UnsureTTL <= 0 {
		c.UnsureTTL = defaultUnsureTTL
	}
	if c.MaxHoldings <= 0 {
		c.MaxHoldings = defaultMaxHoldings
	}
	return c
}
