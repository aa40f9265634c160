// Package claimer prevents requests with the same idempotency key from running
// twice. A request may run only after it has created the claim of its key in the
// platform's key-value store, which succeeds for at most one of them.
package claimer

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Claim is the value stored under a claimed key. A claim is never taken over by
// another request, even if its holder misses the deadline.
type Claim struct {
	// Token is unique to the request that created the claim.
	Token  string `json:"token"`
	Digest Digest `json:"digest"`
	// Deadline is the time from which the holder must not start to send its
	// request.
	Deadline time.Time `json:"deadline"`
}

// DecodeClaim decodes a claim from JSON and checks it.
func DecodeClaim(data []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(data, &c); err != nil {
		return Claim{}, fmt.Errorf("decode claim: %w", err)
	}
	return c, c.Check()
}

// Check returns an error if a field of the claim is empty.
func (c Claim) Check() error {
	if c.Token == "" || c.Digest == "" || c.Deadline.IsZero() {
		return errors.New("invalid claim: token, digest and deadline are required")
	}
	return nil
}

// CheckOwner returns nil if the stored claim is the request's own claim, otherwise
// the error to return to the client.
func CheckOwner(own, stored Claim) error {
	switch {
	case own.Token == stored.Token:
		return nil
	case own.Digest != stored.Digest:
		return classifier.New(classifier.IdempotencyConflict, "the idempotency key was used for another request")
	}
	return classifier.New(classifier.AlreadyClaimed, "a request with this idempotency key was accepted before")
}
