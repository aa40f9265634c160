package checker

import (
	"fmt"
	"net/netip"
)

// KeptCache is the store of a region from which its engines import blocks that
// were computed before.
type KeptCache struct {
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
	// ImportPerBlock is the time to import one block.
	ImportPerBlock Duration `json:"import_per_block"`
}

// KeptCache returns the store of kept cache of a region.
func (b *Bundle) KeptCache(region string) (KeptCache, bool) {
	return find(b.KeptCaches, func(k KeptCache) bool { return k.Region == region })
}

func (b *Bundle) checkKeptCaches() error {
	seen := make(map[string]bool, len(b.KeptCaches))
	for i, k := range b.KeptCaches {
		at := fmt.Sprintf("kept_caches[%d]", i)
		if _, ok := b.Region(k.Region); !ok {
			return invalid(at+".region", "got %q, takes a name from regions", k.Region)
		}
		if seen[k.Region] {
			return invalid(at+".region", "got %q a second time", k.Region)
		}
		seen[k.Region] = true
		if !k.Address.IsValid() || k.Address.Port() == 0 {
			return invalid(at+".address", "got %q, takes an IP number and a port", k.Address)
		}
		if k.ImportPerBlock <= 0 {
			return invalid(at+".import_per_block", "got %s, takes more than 0", k.ImportPerBlock.Std())
		}
	}
	return nil
}
