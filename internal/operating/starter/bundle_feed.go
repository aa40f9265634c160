package starter

import (
	"context"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
)

// bundleSubscription calls apply with the bundle in force and with each bundle
// that replaces it. Bundles replaced while apply runs are skipped.
type bundleSubscription struct {
	holder *holder.Holder
	apply  func(*checker.Bundle)
}

func (s *bundleSubscription) run(ctx context.Context) {
	for {
		changed := s.holder.Changed()
		if current := s.holder.Current(); current != nil {
			s.apply(current.Bundle)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
