// Package holder holds the bundle in force on this node. Its version never
// decreases.
package holder

import (
	"bytes"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Accepted is a verified bundle and its signed envelope.
type Accepted struct {
	Bundle   *checker.Bundle
	Envelope signer.Envelope
	// Since is the time at which the bundle came into force on this node.
	Since time.Time
}

// Config holds the dependencies of a Holder.
type Config struct {
	Verifier signer.Verifier
}

// Holder holds the valid bundle with the highest version offered so far.
type Holder struct {
	verifier signer.Verifier

	mu      sync.Mutex
	current *Accepted
	// changed is closed and replaced when a bundle comes into force.
	changed chan struct{}
}

// New returns a Holder with no bundle in force.
func New(cfg Config) *Holder {
	return &Holder{verifier: cfg.Verifier, changed: make(chan struct{})}
}

// Offer verifies e and puts its bundle in force. It returns a BundleStale error if the
// version is not higher than the current one, and a BundleConflict error if it is the
// current one with another document: a restored store may have assigned it again.
func (h *Holder) Offer(now time.Time, e signer.Envelope) error {
	b, err := h.verifier.Verify(e)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.current == nil:
	case b.Version == h.current.Bundle.Version && !bytes.Equal(e.Document, h.current.Envelope.Document):
		return classifier.New(classifier.BundleConflict, "version %d is in force with another document", b.Version)
	case b.Version <= h.current.Bundle.Version:
		return classifier.New(classifier.BundleStale, "got version %d, but version %d is in force", b.Version, h.current.Bundle.Version)
	}
	h.current = &Accepted{Bundle: b, Envelope: e, Since: now}
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// Current returns the bundle in force, or nil if there is none.
func (h *Holder) Current() *Accepted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Version returns the version in force, or 0 if there is none.
func (h *Holder) Version() uint64 {
	current := h.Current()
	if current == nil {
		return 0
	}
	return current.Bundle.Version
}

// Changed returns a channel that is closed when the next bundle comes into force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
