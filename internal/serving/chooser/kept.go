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
	// maxExports is the maximum number of exported prefixes in an exportTracker.
	maxExports = 1 << 14
	// exportTTL is the time for which an exported prefix counts as importable.
	// After it the router requests the export again.
	exportTTL = time.Minute
)

// exportKey identifies an exported prefix in the store of a region by the hash of
// its last checkpoint.
type exportKey struct {
	region string
	last   hasher.Hash
}

// export is a prefix that an upstream is asked to export to the store of its
// region.
type export struct {
	region string
	offer  importer.Offer
}

// exportRecord is an exported prefix with the time at which the record expires.
type exportRecord struct {
	offer     importer.Offer
	expiresAt time.Time
}

// exportTracker records the prefixes that a router asked upstreams to export to
// the cache store of their region. It is soft state: the store may have lost a
// prefix, in which case the importing engine computes the blocks.
type exportTracker struct {
	records *simplelru.LRU[exportKey, exportRecord]
}

func newExportTracker() (*exportTracker, error) {
	records, err := simplelru.NewLRU[exportKey, exportRecord](maxExports, nil)
	if err != nil {
		return nil, err
	}
	return &exportTracker{records: records}, nil
}

// record adds an export that was just requested.
func (t *exportTracker) record(now time.Time, e export) {
	key := exportKey{region: e.region, last: e.offer.LastHash}
	t.records.Add(key, exportRecord{offer: e.offer, expiresAt: now.Add(exportTTL)})
}

// importableBlocks returns the number of leading blocks of r that can probably be
// imported from the store of a region.
func (t *exportTracker) importableBlocks(now time.Time, region string, r *selector.Request, checkpoints []hasher.Hash) int {
	scope := scopeOf(r)
	for i := len(checkpoints) - 1; i >= 0; i-- {
		record, ok := t.records.Get(exportKey{region: region, last: checkpoints[i]})
		if !ok || now.After(record.expiresAt) {
			continue
		}
		if n := record.offer.ImportableBlocks(scope, r.Chain); n > 0 {
			return n
		}
	}
	return 0
}

func scopeOf(r *selector.Request) hasher.Scope {
	return hasher.Scope{Organisation: r.Organisation, Model: r.Model, WeightsVersion: r.WeightsVersion}
}

// setImportable sets the import fields of the candidates in regions with a cache
// store.
func (t *exportTracker) setImportable(now time.Time, b *checker.Bundle, r selector.Request, checkpoints []hasher.Hash, candidates []selector.Candidate) {
	for _, store := range b.KeptCaches {
		n := t.importableBlocks(now, store.Region, &r, checkpoints)
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

// transferPlan holds the cache import and export that are requested from the
// chosen upstream.
type transferPlan struct {
	importableBlocks int
	importBlocks     int
	// prefillBlocks is the number of blocks that remain to be computed.
	prefillBlocks int
	// export is nil if no export is requested.
	export *export
}

// plan returns the transfers to request from the chosen upstream.
func (t *exportTracker) plan(now time.Time, b *checker.Bundle, r selector.Request, candidates []selector.Candidate, d selector.Decision) transferPlan {
	p := transferPlan{prefillBlocks: d.MissingBlocks}
	for i := range candidates {
		c := &candidates[i]
		if c.Name != d.Chosen {
			continue
		}
		p.importableBlocks = c.ImportableBlocks
		p.importBlocks = c.BlocksToImport(len(r.Chain))
		if p.importBlocks > 0 {
			p.prefillBlocks = len(r.Chain) - p.importBlocks
		}
		p.export = t.exportFor(now, b, &r, c.Region)
	}
	return p
}

// exportFor returns an export of the shared prefix of r, or nil if r has none, if
// the region has no cache store, or if an export of it is on record.
func (t *exportTracker) exportFor(now time.Time, b *checker.Bundle, r *selector.Request, region string) *export {
	n := min(r.SharedBlocks, len(r.Chain))
	if _, ok := b.KeptCache(region); !ok || n == 0 {
		return nil
	}
	record, ok := t.records.Peek(exportKey{region: region, last: r.Chain[n-1]})
	if ok && !now.After(record.expiresAt) {
		return nil
	}
	return &export{region: region, offer: importer.Offer{
		Organisation:   r.Organisation,
		Model:          r.Model,
		WeightsVersion: r.WeightsVersion,
		Blocks:         n,
		LastHash:       r.Chain[n-1],
	}}
}
