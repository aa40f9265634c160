// Package lister reads the platform's list of VMs from time to time.
package lister

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// leastInterval is the shortest mean time between two readings.
	leastInterval = 5 * time.Second
	// intervalPerMember lengthens it with the number of controllers, so that
	// together they read the list about once in that time. Whoever reads it
	// first tells the others.
	intervalPerMember = time.Second
	listTimeout       = 5 * time.Second
	// firstInterval bounds the wait for the first reading.
	firstInterval = time.Second
)

// Config holds what a Lister is built from.
type Config struct {
	VMs storer.VMLister
	// Members returns the number of controllers.
	Members func() int
	// OnVMs takes each list that was read.
	OnVMs func([]storer.VM)
	Log   *logrus.Entry
}

// Lister reads the list with jitter, so that controllers that start together
// do not ask together.
type Lister struct {
	cfg Config
}

// New returns a Lister.
func New(cfg Config) *Lister { return &Lister{cfg: cfg} }

// Run reads until ctx ends.
func (l *Lister) Run(ctx context.Context) {
	wait := rand.N(firstInterval)
	for {
		select {
		case <-time.After(wait):
			l.read(ctx)
		case <-ctx.Done():
			return
		}
		interval := max(leastInterval, time.Duration(l.cfg.Members())*intervalPerMember)
		wait = interval/2 + rand.N(interval)
	}
}

// read hands on the list. One that cannot be read tells nothing.
func (l *Lister) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := l.cfg.VMs.VMs(ctx)
	if err != nil {
		l.cfg.Log.WithError(err).Debug("VM list not read")
		return
	}
	l.cfg.OnVMs(vms)
}
