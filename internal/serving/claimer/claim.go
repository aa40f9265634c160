// Package claimer keeps a request with an idempotency key from running twice,
// by a claim that only one arrival can make in the platform's service.
package claimer

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Claim is the value of a claimed key. A claim is never made again, however
// late its holder is.
type Claim struct {
	// Token is unique to the arrival that made the claim.
	Token  string `json:"token"`
	Digest Digest `json:"digest"`
	// Deadline is when the holder may no longer begin to send.
	Deadline time.Time `json:"deadline"`
}

// DecodeClaim reads a claim from its JSON form and checks it.
func DecodeClaim(data []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(data, &c); err != nil {
		return Claim{}, fmt.Errorf("decode claim: %w", err)
	}
	return c, c.Check()
}

// Check reports the first fault of the claim.
func (c Claim) Check() error {
	if c.Token == "" || c.Digest == "" || c.Deadline.IsZero() {
		return errors.New("claim takes a token, a digest and a deadline")
	}
	return nil
}

// Settle compares the claim that stands in the store with an arrival's own. It
// returns nil where they are the same one.
func Settle(own, standing Claim) error {
	switch {
	case own.Token == standing.Token:
		return nil
	case own.Digest != standing.Digest:
		return classifier.New(classifier.IdempotencyConflict, "the idempotency key was used for another request")
	}
	return classifier.New(classifier.AlreadyClaimed, "a request with this idempotency key was accepted before")
}
