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
	// callTimeout is the timeout of a single call to the store.
	callTimeout = 500 * time.Millisecond
	// claimTimeout is the timeout of Claimer.Claim, which may call the store
	// several times.
	claimTimeout = 1500 * time.Millisecond
	// sendWindow is the time after the start of Claimer.Claim in which the request
	// may be sent.
	sendWindow = 5 * time.Second
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
)

// Config holds the parameters of a Claimer.
type Config struct {
	Store storer.Store
	Log   *logrus.Entry
}

// Claimer creates claims in the platform's key-value store. It is safe for
// concurrent use.
type Claimer struct {
	cfg    Config
	leases *leaseCache
}

// New returns a Claimer.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, leases: &leaseCache{store: cfg.Store}}
}

// Claim claims key for a request of an organisation. If it returns an error, the
// request must not be sent.
func (c *Claimer) Claim(ctx context.Context, organisation, key string, digest Digest) (*Ticket, error) {
	if len(key) > maxKeyBytes {
		return nil, classifier.New(classifier.InvalidRequest, "idempotency key: takes at most %d bytes", maxKeyBytes)
	}
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(claimTimeout))
	defer cancel()
	own := Claim{Token: uuid.NewString(), Digest: digest, Deadline: now.Add(sendWindow)}
	a := &claimAttempt{claimer: c, key: storeKey(organisation, key), own: own}
	version, err := a.create(ctx, now)
	if err != nil {
		return nil, err
	}
	return &Ticket{claimer: c, key: a.key, version: version, deadline: own.Deadline}, nil
}

// claimAttempt is the attempt of one request to claim a key.
type claimAttempt struct {
	claimer *Claimer
	key     string
	own     Claim
}

// create creates the claim and returns its version.
func (a *claimAttempt) create(ctx context.Context, now time.Time) (storer.Version, error) {
	version, err := a.write(ctx, now)
	if errors.Is(err, storer.ErrLeaseGone) {
		version, err = a.write(ctx, now)
	}
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, storer.ErrConflict):
		return a.readBack(ctx, err)
	case notWritten(err):
		return storer.Version{}, unavailable(err)
	}
	return a.resolveUnknownWrite(ctx, now, err)
}

// resolveUnknownWrite determines whether a write without a reply took effect. If
// there is no claim, it writes once more and reads the result.
func (a *claimAttempt) resolveUnknownWrite(ctx context.Context, now time.Time, writeErr error) (storer.Version, error) {
	version, err := a.readBack(ctx, writeErr)
	if !errors.Is(err, storer.ErrNotFound) {
		return version, err
	}
	version, err = a.write(ctx, now)
	switch {
	case err == nil:
		return version, nil
	case notWritten(err):
		return storer.Version{}, unavailable(errors.Join(writeErr, err))
	}
	return a.readBack(ctx, errors.Join(writeErr, err))
}

// readBack reads the stored claim. It returns its version, and an error unless
// the claim is that of a.
func (a *claimAttempt) readBack(ctx context.Context, cause error) (storer.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := a.claimer.cfg.Store.Get(ctx, a.key)
	if err != nil {
		return storer.Version{}, unavailable(errors.Join(cause, err))
	}
	stored, err := DecodeClaim(entry.Value)
	if err != nil {
		return storer.Version{}, classifier.Wrap(classifier.AlreadyClaimed, err, "the idempotency key is taken")
	}
	return entry.Version(), CheckOwner(a.own, stored)
}

// write stores the claim if the key does not exist.
func (a *claimAttempt) write(ctx context.Context, now time.Time) (storer.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := a.claimer.leases.get(ctx, now)
	if err != nil {
		return storer.Version{}, errors.Join(errNoLease, err)
	}
	value, err := json.Marshal(a.own)
	if err != nil {
		return storer.Version{}, fmt.Errorf("encode claim: %w", err)
	}
	version, err := a.claimer.cfg.Store.Put(ctx, a.key, value, storer.PutOptions{LeaseID: lease})
	if errors.Is(err, storer.ErrLeaseGone) {
		a.claimer.leases.discard(lease)
	}
	return version, err
}

// errNoLease is returned if the claim was not written because there is no lease.
var errNoLease = errors.New("failed to grant lease for claims")

// notWritten reports whether err means that a write has not taken effect. Any
// other error leaves the outcome unknown.
func notWritten(err error) bool {
	return errors.Is(err, errNoLease) || errors.Is(err, storer.ErrLeaseGone) || errors.Is(err, storer.ErrTooLarge)
}

func unavailable(err error) error {
	return classifier.Wrap(classifier.StoreUnavailable, err, "the idempotency key cannot be checked now")
}
