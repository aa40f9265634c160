package indexer

import "time"

const (
	defaultMaxRecords  = 1 << 20
	defaultUnsureTTL   = 30 * time.Second
	defaultMaxHoldings = 32
)

// Config configures an Index. Zero values select the defaults.
type Config struct {
	// MaxRecords bounds the number of records, and thereby the memory.
	MaxRecords int
	// UnsureTTL is how long records from before a gap are kept as unsure.
	UnsureTTL time.Duration
	// MaxHoldings bounds the number of upstreams that a lookup returns.
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
