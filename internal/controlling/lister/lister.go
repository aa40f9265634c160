// Package lister periodically reads the platform's list of VMs.
package lister

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// minInterval is the minimum mean interval between two reads.
	minInterval = 5 * time.Second
	// intervalPerMember times the number of controllers is the mean interval of each
	// controller, so that together they read the list about once in this time. That
	// suffices because changes are passed on to the other controllers.
	intervalPerMember = time.Second
	// listTimeout is the timeout of one read.
	listTimeout = 5 * time.Second
	// maxInitialDelay is the maximum random delay of the first read.
	maxInitialDelay = time.Second
)

// Config configures a Lister.
type Config struct {
	// VMs reads the list from the platform.
	VMs storer.VMLister
	// MemberCount returns the number of controllers.
	MemberCount func() int
	// OnVMs is called with each list that was read.
	OnVMs func([]storer.VM)
	Log   *logrus.Entry
}

// Lister reads the list at intervals with jitter, so that controllers that start at
// the same time do not read it at the same time.
type Lister struct {
	cfg Config
}

// New returns a Lister.
func New(cfg Config) *Lister { return &Lister{cfg: cfg} }

// Run reads the list until ctx is cancelled. The intervals have a jitter of 50%.
func (l *Lister) Run(ctx context.Context) {
	delay := rand.N(maxInitialDelay)
	for {
		select {
		case <-time.After(delay):
			l.readList(ctx)
		case <-ctx.Done():
			return
		}
		interval := max(minInterval, time.Duration(l.cfg.MemberCount())*intervalPerMember)
		delay = interval/2 + rand.N(interval)
	}
}

// readList reads the list and passes it to OnVMs. If the read fails, OnVMs is not
// called: a failure says nothing about the state of the VMs.
func (l *Lister) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := l.cfg.VMs.VMs(ctx)
	if err != nil {
		l.cfg.Log.WithError(err).Debug("failed to read VM list from platform")
		return
	}
	l.cfg.OnVMs(vms)
}
