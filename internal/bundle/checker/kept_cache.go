package checker

import (
	"fmt"
	"net/netip"
)

// KeptCache is the external cache store of a region, from which its engines
// import blocks that have already been computed.
type KeptCache struct {
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
	// ImportPerBlock is the estimated time to import one block.
	ImportPerBlock Duration `json:"import_per_block"`
}

// KeptCache returns the external cache store of a region.
func (b *Bundle) KeptCache(region string) (KeptCache, bool) {
	return findFirst(b.KeptCaches, func(k KeptCache) bool { return k.Region == region })
}

func (b *Bundle) checkKeptCaches() error {
	seen := make(map[string]bool, len(b.KeptCaches))
	for i, k := range b.KeptCaches {
		path := fmt.Sprintf("kept_caches[%d]", i)
		if _, ok := b.Region(k.Region); !ok {
			return invalid(path+".region", "got %q, want the name of a region of the bundle", k.Region)
		}
		if seen[k.Region] {
			return invalid(path+".region", "duplicate region %q", k.Region)
		}
		seen[k.Region] = true
		if !k.Address.IsValid() || k.Address.Port() == 0 {
			return invalid(path+".address", "got %q, want an IP address and a port", k.Address)
		}
		if k.ImportPerBlock <= 0 {
			return invalid(path+".import_per_block", "got %s, want more than 0s", k.ImportPerBlock.Std())
		}
	}
	return nil
}
