package signer

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"fmt"
)

// PrivateKey is the file form of a signer's key. It is secret.
type PrivateKey struct {
	ID   string `json:"id"`
	Seed []byte `json:"seed"`
}

// PublicKey is the form of a signer's key that settings trust.
type PublicKey struct {
	ID        string `json:"id"`
	PublicKey []byte `json:"public_key"`
}

// NewPrivateKey makes a key with that id.
func NewPrivateKey(id string) (PrivateKey, error) {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := rand.Read(seed); err != nil {
		return PrivateKey{}, fmt.Errorf("new key: %w", err)
	}
	return PrivateKey{ID: id, Seed: seed}, nil
}

// DecodePrivateKey reads a key from its JSON form.
func DecodePrivateKey(data []byte) (PrivateKey, error) {
	var key PrivateKey
	if err := json.Unmarshal(data, &key); err != nil || key.ID == "" || len(key.Seed) != ed25519.SeedSize {
		return PrivateKey{}, fmt.Errorf("not a private key file")
	}
	return key, nil
}

// Key returns the signing key.
func (k PrivateKey) Key() ed25519.PrivateKey { return ed25519.NewKeyFromSeed(k.Seed) }

// Public returns the public half.
func (k PrivateKey) Public() PublicKey {
	public, _ := k.Key().Public().(ed25519.PublicKey)
	return PublicKey{ID: k.ID, PublicKey: public}
}

// String hides the seed from logs.
func (k PrivateKey) String() string { return "private key " + k.ID }
