package signer

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"fmt"
)

// PrivateKey is the content of a signer's private key file. It is secret.
type PrivateKey struct {
	ID   string `json:"id"`
	Seed []byte `json:"seed"`
}

// PublicKey is a signer's public key as listed in the settings under
// trust.bundle_keys.
type PublicKey struct {
	ID        string `json:"id"`
	PublicKey []byte `json:"public_key"`
}

// NewPrivateKey generates a private key with the given ID.
func NewPrivateKey(id string) (PrivateKey, error) {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := rand.Read(seed); err != nil {
		return PrivateKey{}, fmt.Errorf("generate private key: %w", err)
	}
	return PrivateKey{ID: id, Seed: seed}, nil
}

// DecodePrivateKey parses a private key from JSON.
func DecodePrivateKey(data []byte) (PrivateKey, error) {
	var key PrivateKey
	if err := json.Unmarshal(data, &key); err != nil || key.ID == "" || len(key.Seed) != ed25519.SeedSize {
		return PrivateKey{}, fmt.Errorf("decode private key: want JSON with an id and a 32-byte seed")
	}
	return key, nil
}

// Key returns the Ed25519 key that signs bundles.
func (k PrivateKey) Key() ed25519.PrivateKey { return ed25519.NewKeyFromSeed(k.Seed) }

// Public returns the matching public key.
func (k PrivateKey) Public() PublicKey {
	public, _ := k.Key().Public().(ed25519.PublicKey)
	return PublicKey{ID: k.ID, PublicKey: public}
}

// String returns the key ID only, so that formatting the key in a log does not
// reveal the seed.
func (k PrivateKey) String() string { return "private key " + k.ID }
