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

// Record is a claimed version and its bundle.
type Record struct {
	Version  uint64
	Envelope signer.Envelope
	// Err is the error of verifying the bundle now, nil if it is valid. For example,
	// verification fails once the signing key is no longer trusted.
	Err error
}

// GetVersion returns the bundle of a version that was published, or only claimed by an
// interrupted publish.
func (p *Publisher) GetVersion(ctx context.Context, version uint64) (Record, error) {
	entry, err := p.store.Get(ctx, p.versionKey(version))
	if errors.Is(err, storer.ErrNotFound) {
		return Record{}, classifier.New(classifier.NotFound, "version %d does not exist", version)
	}
	if err != nil {
		return Record{}, storeUnavailable(err, "read version %d", version)
	}
	r := Record{Version: version}
	r.Envelope, _, r.Err = p.decode(entry)
	return r, nil
}

// History returns up to limit claimed versions, newest first.
func (p *Publisher) History(ctx context.Context, limit int) ([]Record, error) {
	version, err := p.highestClaimed(ctx)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, limit)
	for ; version > 0 && len(records) < limit; version-- {
		r, err := p.GetVersion(ctx, version)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// highestClaimed returns the highest claimed version, or 0 if there is none. Claimed
// versions are contiguous from 1, so a binary search finds it with few reads.
func (p *Publisher) highestClaimed(ctx context.Context) (uint64, error) {
	var readErr error
	isClaimed := func(version uint64) bool {
		if readErr != nil {
			return false
		}
		_, err := p.store.Get(ctx, p.versionKey(version))
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			readErr = storeUnavailable(err, "read version %d", version)
		}
		return err == nil
	}
	upper := uint64(1)
	for upper < checker.MaxVersion && isClaimed(upper) {
		upper *= 2
	}
	lower := upper / 2
	n := sort.Search(int(upper-lower), func(i int) bool { return !isClaimed(lower + uint64(i)) })
	if readErr != nil {
		return 0, readErr
	}
	if lower == 0 {
		return 0, nil
	}
	return lower + uint64(n) - 1, nil
}
