package starter

import (
	"context"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
)

// bundleFeed hands each bundle that comes into force to a part of the process.
type bundleFeed struct {
	holder *holder.Holder
	take   func(*checker.Bundle)
}

func (f *bundleFeed) run(ctx context.Context) {
	for {
		changed := f.holder.Changed()
		if current := f.holder.Current(); current != nil {
			f.take(current.Bundle)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
