package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// callTimeout bounds one call of the store.
	callTimeout = 500 * time.Millisecond
	// claimTimeout bounds the making of a claim.
	claimTimeout = 1500 * time.Millisecond
	// sendWindow is how long after its start a claim allows to begin to send.
	sendWindow = 5 * time.Second
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 256
)

// Config holds what a Claimer is built from.
type Config struct {
	Store storer.Store
	Log   *logrus.Entry
}

// Claimer makes claims in the platform's service.
type Claimer struct {
	cfg    Config
	leases *leases
}

// New returns a Claimer.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, leases: &leases{store: cfg.Store}}
}

// Claim takes key for an organisation's request. An error means that the
// request is not to be sent.
func (c *Claimer) Claim(ctx context.Context, organisation, key string, digest Digest) (*Ticket, error) {
	if len(key) > maxKeyBytes {
		return nil, classifier.New(classifier.InvalidRequest, "idempotency key: takes at most %d bytes", maxKeyBytes)
	}
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(claimTimeout))
	defer cancel()
	own := Claim{Token: uuid.NewString(), Digest: digest, Deadline: now.Add(sendWindow)}
	a := &arrival{claimer: c, key: storeKey(organisation, key), own: own}
	revision, err := a.claim(ctx, now)
	if err != nil {
		return nil, err
	}
	return &Ticket{claimer: c, key: a.key, revision: revision, deadline: own.Deadline}, nil
}

// arrival is one request that wants a key.
type arrival struct {
	claimer *Claimer
	key     string
	own     Claim
}

// claim returns the revision of the arrival's own claim.
func (a *arrival) claim(ctx context.Context, now time.Time) (uint64, error) {
	revision, err := a.put(ctx, now)
	if errors.Is(err, storer.ErrLeaseGone) {
		revision, err = a.put(ctx, now)
	}
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, storer.ErrConflict):
		return a.settle(ctx, err)
	case sure(err):
		return 0, unavailable(err)
	}
	return a.readBack(ctx, now, err)
}

// readBack finds out whether a write whose answer was lost took effect.
func (a *arrival) readBack(ctx context.Context, now time.Time, lost error) (uint64, error) {
	revision, err := a.settle(ctx, lost)
	if !errors.Is(err, storer.ErrNotFound) {
		return revision, err
	}
	revision, err = a.put(ctx, now)
	switch {
	case err == nil:
		return revision, nil
	case sure(err):
		return 0, unavailable(errors.Join(lost, err))
	}
	return a.settle(ctx, errors.Join(lost, err))
}

// settle reads the claim that stands and compares it with the own one.
func (a *arrival) settle(ctx context.Context, cause error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := a.claimer.cfg.Store.Get(ctx, a.key)
	if err != nil {
		return 0, unavailable(errors.Join(cause, err))
	}
	standing, err := DecodeClaim(entry.Value)
	if err != nil {
		return 0, classifier.Wrap(classifier.AlreadyClaimed, err, "the idempotency key is taken")
	}
	return entry.Revision, Settle(a.own, standing)
}

func (a *arrival) put(ctx context.Context, now time.Time) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := a.claimer.leases.current(ctx, now)
	if err != nil {
		return 0, errors.Join(errNoLease, err)
	}
	value, err := json.Marshal(a.own)
	if err != nil {
		return 0, fmt.Errorf("encode claim: %w", err)
	}
	revision, err := a.claimer.cfg.Store.Put(ctx, a.key, value, storer.PutOptions{LeaseID: lease})
	if errors.Is(err, storer.ErrLeaseGone) {
		a.claimer.leases.forget(lease)
	}
	return revision, err
}

// errNoLease reports that no claim was written for want of a lease.
var errNoLease = errors.New("no lease for claims")

// sure reports whether err rules out that a write took effect.
func sure(err error) bool {
	return errors.Is(err, errNoLease) || errors.Is(err, storer.ErrLeaseGone) || errors.Is(err, storer.ErrTooLarge)
}

func unavailable(err error) error {
	return classifier.Wrap(classifier.StoreUnavailable, err, "the idempotency key cannot be checked now")
}
