package configurer

import (
	"crypto/ed25519"
	"fmt"

	"gentianstep.example/gentianstep/internal/bundle/signer"
)

// TrustSettings hold the public keys that bundles are verified with.
type TrustSettings struct {
	BundleKeys []BundleKey `json:"bundle_keys"`
	// Threshold is the number of distinct signers required for a bundle.
	Threshold int `json:"threshold"`
}

// BundleKey is the public key of a bundle signer.
type BundleKey struct {
	ID string `json:"id"`
	// PublicKey is an Ed25519 public key in base64.
	PublicKey []byte `json:"public_key"`
}

func (t TrustSettings) check() error {
	if len(t.BundleKeys) == 0 {
		return invalid("trust.bundle_keys", "got none, want at least one key")
	}
	seen := make(map[string]bool)
	for i, key := range t.BundleKeys {
		path := fmt.Sprintf("trust.bundle_keys[%d]", i)
		if err := checkName(path+".id", key.ID); err != nil {
			return err
		}
		if seen[key.ID] {
			return invalid(path+".id", "duplicate ID %q", key.ID)
		}
		seen[key.ID] = true
		if len(key.PublicKey) != ed25519.PublicKeySize {
			return invalid(path+".public_key", "got %d bytes, want the %d bytes of an Ed25519 public key in base64", len(key.PublicKey), ed25519.PublicKeySize)
		}
	}
	if t.Threshold < 1 || t.Threshold > len(t.BundleKeys) {
		return invalid("trust.threshold", "got %d, want 1 to %d", t.Threshold, len(t.BundleKeys))
	}
	return nil
}

// Verifier returns a verifier of bundles for the deployment, trusted keys and
// threshold in the settings.
func (s *Settings) Verifier() signer.Verifier {
	keys := make(map[string]ed25519.PublicKey, len(s.Trust.BundleKeys))
	for _, key := range s.Trust.BundleKeys {
		keys[key.ID] = ed25519.PublicKey(key.PublicKey)
	}
	return signer.Verifier{
		Deployment: s.Deployment,
		Keys:       keys,
		Threshold:  s.Trust.Threshold,
	}
}
