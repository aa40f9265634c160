// Package holder keeps the bundle in force. Its version only ever rises.
package holder

import (
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Accepted is a bundle in force with the envelope that proves it.
type Accepted struct {
	Bundle   *checker.Bundle
	Envelope signer.Envelope
	// Since is when it came into force on this node.
	Since time.Time
}

// Config holds what a Holder is built from.
type Config struct {
	Verifier signer.Verifier
}

// Holder keeps the highest valid bundle that was offered to it.
type Holder struct {
	verifier signer.Verifier

	mu      sync.Mutex
	current *Accepted
	changed chan struct{}
}

// New returns a Holder with no bundle in force.
func New(cfg Config) *Holder {
	return &Holder{verifier: cfg.Verifier, changed: make(chan struct{})}
}

// Offer puts the bundle of e in force if it is valid and newer.
func (h *Holder) Offer(now time.Time, e signer.Envelope) error {
	b, err := h.verifier.Verify(e)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && b.Version <= h.current.Bundle.Version {
		return classifier.New(classifier.BundleStale, "got version %d, version %d is in force", b.Version, h.current.Bundle.Version)
	}
	h.current = &Accepted{Bundle: b, Envelope: e, Since: now}
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// Current returns the bundle in force, nil before the first one.
func (h *Holder) Current() *Accepted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Version returns the version in force, 0 before the first one.
func (h *Holder) Version() uint64 {
	current := h.Current()
	if current == nil {
		return 0
	}
	return current.Bundle.Version
}

// Changed returns a channel that closes when the next bundle comes into force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
