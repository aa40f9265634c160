// Package signer signs bundles off and verifies them.
package signer

import (
	"crypto/ed25519"
	"encoding/json"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Signature is one signer's signature over the exact bytes of a bundle.
type Signature struct {
	KeyID string `json:"key_id" cbor:"key_id"`
	Value []byte `json:"value" cbor:"value"`
}

// Envelope carries the exact bytes of a bundle document and its signatures.
type Envelope struct {
	Document   []byte      `json:"document" cbor:"document"`
	Signatures []Signature `json:"signatures" cbor:"signatures"`
}

// signatureContext separates these signatures from other uses of the keys.
const signatureContext = "gentianstep bundle v1\n"

func signedBytes(document []byte) []byte {
	return append([]byte(signatureContext), document...)
}

// Sign adds the signature of key to the envelope.
func (e *Envelope) Sign(keyID string, key ed25519.PrivateKey) {
	value := ed25519.Sign(key, signedBytes(e.Document))
	e.Signatures = append(e.Signatures, Signature{KeyID: keyID, Value: value})
}

// DecodeEnvelope reads an envelope from its JSON form.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, classifier.Wrap(classifier.BundleUnsigned, err, "not a signed bundle")
	}
	return e, nil
}

// Verifier accepts envelopes that enough trusted keys have signed.
type Verifier struct {
	Deployment string
	// Keys maps key ids to trusted public keys.
	Keys map[string]ed25519.PublicKey
	// Threshold is the number of different trusted signers needed, at least 1.
	Threshold int
}

// Verify checks the signatures and then the content of e.
func (v Verifier) Verify(e Envelope) (*checker.Bundle, error) {
	if err := v.checkSignatures(e); err != nil {
		return nil, err
	}
	b, err := checker.Decode(e.Document)
	if err != nil {
		return nil, err
	}
	if b.Deployment != v.Deployment {
		return nil, classifier.New(classifier.BundleWrongDeployment, "bundle is for %q, this is %q", b.Deployment, v.Deployment)
	}
	return b, nil
}

func (v Verifier) checkSignatures(e Envelope) error {
	if len(e.Signatures) == 0 {
		return classifier.New(classifier.BundleUnsigned, "bundle carries no signature")
	}
	valid := make(map[string]bool)
	for _, s := range e.Signatures {
		key, ok := v.Keys[s.KeyID]
		if !ok {
			continue
		}
		if !ed25519.Verify(key, signedBytes(e.Document), s.Value) {
			return classifier.New(classifier.BundleTampered, "signature of key %s does not match", s.KeyID)
		}
		valid[string(key)] = true
	}
	if len(valid) == 0 {
		return classifier.New(classifier.BundleUnknownKey, "no signature is of a trusted key")
	}
	if len(valid) < max(v.Threshold, 1) {
		return classifier.New(classifier.BundleUnsigned, "got %d trusted signatures, takes %d", len(valid), v.Threshold)
	}
	return nil
}
