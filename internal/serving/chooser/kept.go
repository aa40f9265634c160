package chooser

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/importer"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

const (
	// maxKept bounds the exported prefixes that a router remembers.
	maxKept = 1 << 14
	// keptFor is how long a router counts on an export. After it the router
	// asks for the export again.
	keptFor = time.Minute
)

// keptKey names an exported prefix by its last checkpoint.
type keptKey struct {
	region string
	last   hasher.Hash
}

// export is a prefix that an upstream is asked to export.
type export struct {
	region string
	offer  importer.Offer
}

// keptEntry is a remembered export with the deadline until which it counts.
type keptEntry struct {
	offer importer.Offer
	until time.Time
}

// kept is a router's soft memory of the prefixes that it had exported. The
// store may have lost any of them; engines then compute the blocks.
type kept struct {
	entries *simplelru.LRU[keptKey, keptEntry]
}

func newKept() (*kept, error) {
	entries, err := simplelru.NewLRU[keptKey, keptEntry](maxKept, nil)
	if err != nil {
		return nil, err
	}
	return &kept{entries: entries}, nil
}

// add remembers an export that was just asked for.
func (k *kept) add(now time.Time, e export) {
	key := keptKey{region: e.region, last: e.offer.Last}
	k.entries.Add(key, keptEntry{offer: e.offer, until: now.Add(keptFor)})
}

// importable returns the number of leading blocks of r that the store of a
// region is believed to have.
func (k *kept) importable(now time.Time, region string, r *selector.Request, checkpoints []hasher.Hash) int {
	scope := scopeOf(r)
	for i := len(checkpoints) - 1; i >= 0; i-- {
		entry, ok := k.entries.Get(keptKey{region: region, last: checkpoints[i]})
		if !ok || now.After(entry.until) {
			continue
		}
		if n := entry.offer.Importable(scope, r.Chain); n > 0 {
			return n
		}
	}
	return 0
}

func scopeOf(r *selector.Request) hasher.Scope {
	return hasher.Scope{Organisation: r.Organisation, Model: r.Model, WeightsVersion: r.WeightsVersion}
}

// offer tells the candidates what they may import.
func (k *kept) offer(now time.Time, b *checker.Bundle, r selector.Request, checkpoints []hasher.Hash, candidates []selector.Candidate) {
	for _, store := range b.KeptCaches {
		n := k.importable(now, store.Region, &r, checkpoints)
		if n == 0 {
			continue
		}
		for i := range candidates {
			if candidates[i].Region != store.Region {
				continue
			}
			candidates[i].ImportableBlocks = n
			candidates[i].ImportPerBlock = store.ImportPerBlock.Std()
		}
	}
}

// offer is what a chosen upstream is asked about kept cache.
type offer struct {
	importableBlocks int
	importBlocks     int
	// computed is the number of blocks that are left to compute.
	computed int
	export   *export
}

// answer returns what to ask of the chosen upstream.
func (k *kept) answer(now time.Time, b *checker.Bundle, r selector.Request, candidates []selector.Candidate, d selector.Decision) offer {
	o := offer{computed: d.MissingBlocks}
	for i := range candidates {
		c := &candidates[i]
		if c.Name != d.Chosen {
			continue
		}
		o.importableBlocks = c.ImportableBlocks
		o.importBlocks = c.BlocksToImport(len(r.Chain))
		if o.importBlocks > 0 {
			o.computed = len(r.Chain) - o.importBlocks
		}
		o.export = k.export(now, b, &r, c.Region)
	}
	return o
}

// export returns the shared prefix of r where the region has a store that is
// not known to hold it.
func (k *kept) export(now time.Time, b *checker.Bundle, r *selector.Request, region string) *export {
	n := min(r.SharedBlocks, len(r.Chain))
	if _, ok := b.KeptCache(region); !ok || n == 0 {
		return nil
	}
	entry, ok := k.entries.Peek(keptKey{region: region, last: r.Chain[n-1]})
	if ok && !now.After(entry.until) {
		return nil
	}
	return &export{region: region, offer: importer.Offer{
		Organisation:   r.Organisation,
		Model:          r.Model,
		WeightsVersion: r.WeightsVersion,
		Blocks:         n,
		Last:           r.Chain[n-1],
	}}
}
