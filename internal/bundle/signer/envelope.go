// Package signer signs bundles and verifies their signatures.
package signer

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Signature is an Ed25519 signature over the exact bytes of a bundle document.
type Signature struct {
	KeyID string `json:"key_id" cbor:"key_id"`
	Value []byte `json:"value" cbor:"value"`
}

// Envelope holds the exact bytes of a bundle document and its signatures.
type Envelope struct {
	Document   []byte      `json:"document" cbor:"document"`
	Signatures []Signature `json:"signatures" cbor:"signatures"`
}

// signatureContext is the domain separator that is prepended to the signed bytes,
// so that a signature made for another purpose with the same key is not valid here.
const signatureContext = "gentianstep bundle v1\n"

func signedBytes(document []byte) []byte {
	return append([]byte(signatureContext), document...)
}

// DocumentSHA256 returns the SHA-256 sum of the document in hexadecimal.
func (e *Envelope) DocumentSHA256() string {
	sum := sha256.Sum256(e.Document)
	return hex.EncodeToString(sum[:])
}

// Sign appends a signature made with key.
func (e *Envelope) Sign(keyID string, key ed25519.PrivateKey) {
	value := ed25519.Sign(key, signedBytes(e.Document))
	e.Signatures = append(e.Signatures, Signature{KeyID: keyID, Value: value})
}

// DecodeEnvelope parses an envelope from JSON.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, classifier.Wrap(classifier.BundleUnsigned, err, "decode signed bundle")
	}
	return e, nil
}

// Verifier verifies that enough trusted keys have signed a bundle of its
// deployment.
type Verifier struct {
	Deployment string
	// Keys maps key IDs to trusted public keys.
	Keys map[string]ed25519.PublicKey
	// Threshold is the number of distinct trusted keys that must have signed. Values
	// below 1 mean 1.
	Threshold int
}

// Verify checks the signatures of e before it decodes and validates the bundle.
func (v Verifier) Verify(e Envelope) (*checker.Bundle, error) {
	if err := v.checkSignatures(e); err != nil {
		return nil, err
	}
	b, err := checker.DecodeBundle(e.Document)
	if err != nil {
		return nil, err
	}
	if b.Deployment != v.Deployment {
		return nil, classifier.New(classifier.BundleWrongDeployment, "bundle is for deployment %q, want %q", b.Deployment, v.Deployment)
	}
	return b, nil
}

// checkSignatures counts the trusted keys that have signed e. Signatures of unknown
// keys are skipped; an invalid signature of a trusted key is an error. A key listed
// under two IDs counts once.
func (v Verifier) checkSignatures(e Envelope) error {
	if len(e.Signatures) == 0 {
		return classifier.New(classifier.BundleUnsigned, "bundle has no signatures")
	}
	validKeys := make(map[string]bool)
	for _, s := range e.Signatures {
		key, ok := v.Keys[s.KeyID]
		if !ok {
			continue
		}
		if !ed25519.Verify(key, signedBytes(e.Document), s.Value) {
			return classifier.New(classifier.BundleTampered, "signature of key %s does not match the document", s.KeyID)
		}
		validKeys[string(key)] = true
	}
	if len(validKeys) == 0 {
		return classifier.New(classifier.BundleUnknownKey, "no signature was made with a trusted key")
	}
	if len(validKeys) < max(v.Threshold, 1) {
		return classifier.New(classifier.BundleUnsigned, "got %d trusted signatures, want %d", len(validKeys), v.Threshold)
	}
	return nil
}
