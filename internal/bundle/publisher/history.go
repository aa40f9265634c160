package publisher

import (
	"context"
	"errors"
	"sort"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Record is one claimed version.
type Record struct {
	Version  uint64
	Envelope signer.Envelope
	// Err says why the bundle of this version is not accepted now, for
	// example after its key was taken out of use.
	Err error
}

// Get returns the bundle of one version, published or claimed by a publish
// that broke off.
func (p *Publisher) Get(ctx context.Context, version uint64) (Record, error) {
	entry, err := p.store.Get(ctx, p.versionKey(version))
	if errors.Is(err, storer.ErrNotFound) {
		return Record{}, classifier.New(classifier.NotFound, "version %d was never claimed", version)
	}
	if err != nil {
		return Record{}, unavailable(err, "read version %d", version)
	}
	r := Record{Version: version}
	r.Envelope, _, r.Err = p.verified(entry)
	return r, nil
}

// History returns the newest versions, the newest first, at most limit of them.
func (p *Publisher) History(ctx context.Context, limit int) ([]Record, error) {
	version, err := p.highest(ctx)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, limit)
	for ; version > 0 && len(records) < limit; version-- {
		r, err := p.Get(ctx, version)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// highest returns the highest claimed version, 0 before the first one. Claims
// have no gaps, so a search by halves finds it in few reads.
func (p *Publisher) highest(ctx context.Context) (uint64, error) {
	var failed error
	claimed := func(version uint64) bool {
		if failed != nil {
			return false
		}
		_, err := p.store.Get(ctx, p.versionKey(version))
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			failed = unavailable(err, "read version %d", version)
		}
		return err == nil
	}
	free := uint64(1)
	for free < checker.MaxVersion && claimed(free) {
		free *= 2
	}
	low := free / 2
	n := sort.Search(int(free-low), func(i int) bool { return !claimed(low + uint64(i)) })
	if failed != nil {
		return 0, failed
	}
	if low == 0 {
		return 0, nil
	}
	return low + uint64(n) - 1, nil
}
