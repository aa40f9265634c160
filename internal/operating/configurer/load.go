package configurer

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Load reads the settings file at path and checks it.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, classifier.Wrap(classifier.SettingsInvalid, err, "settings file")
	}
	return Decode(data)
}

// Decode reads settings from their JSON form and checks them.
func Decode(data []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	s := Settings{
		Trust: TrustSettings{Threshold: 1},
		Log:   LogSettings{Format: "json", Level: "info"},
	}
	if err := decoder.Decode(&s); err != nil {
		return nil, decodeError(err)
	}
	return &s, s.Check()
}

func decodeError(err error) error {
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return classifier.New(classifier.SettingsInvalid, "unknown field %s", field)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return classifier.New(classifier.SettingsInvalid, "%s: got %s, takes %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	return classifier.Wrap(classifier.SettingsInvalid, err, "settings are not valid JSON")
}

// Check reports the first fault of the settings.
func (s *Settings) Check() error {
	texts := []struct{ path, value string }{
		{"deployment", s.Deployment},
		{"node", s.Node},
		{"region", s.Region},
		{"availability_zone", s.AvailabilityZone},
	}
	for _, text := range texts {
		if text.value == "" {
			return classifier.New(classifier.SettingsInvalid, "%s: got none, takes a name", text.path)
		}
	}
	addresses := []struct {
		path  string
		value netip.AddrPort
	}{
		{"router.caller_address", s.Router.CallerAddress},
		{"router.operator_address", s.Router.OperatorAddress},
		{"controller.peer_address", s.Controller.PeerAddress},
		{"controller.operator_address", s.Controller.OperatorAddress},
		{"platform.address", s.Platform.Address},
	}
	for _, address := range addresses {
		if !address.value.IsValid() {
			return classifier.New(classifier.SettingsInvalid, "%s: got none, takes an IP number and a port", address.path)
		}
	}
	return s.checkRest()
}

func (s *Settings) checkRest() error {
	if len(s.Trust.BundleKeys) == 0 {
		return classifier.New(classifier.SettingsInvalid, "trust.bundle_keys: got none, takes at least one key")
	}
	for i, key := range s.Trust.BundleKeys {
		if key.ID == "" || len(key.PublicKey) != ed25519.PublicKeySize {
			return classifier.New(classifier.SettingsInvalid, "trust.bundle_keys[%d]: takes an id and an Ed25519 public key in base64", i)
		}
	}
	if s.Trust.Threshold < 1 || s.Trust.Threshold > len(s.Trust.BundleKeys) {
		return classifier.New(classifier.SettingsInvalid, "trust.threshold: got %d, takes 1 to %d", s.Trust.Threshold, len(s.Trust.BundleKeys))
	}
	if !slices.Contains([]string{"json", "text"}, s.Log.Format) {
		return classifier.New(classifier.SettingsInvalid, "log.format: got %q, takes json or text", s.Log.Format)
	}
	if !slices.Contains([]string{"debug", "info", "warning", "error"}, s.Log.Level) {
		return classifier.New(classifier.SettingsInvalid, "log.level: got %q, takes debug, info, warning or error", s.Log.Level)
	}
	return nil
}

// Verifier returns the verifier of bundles that the settings trust.
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

// String keeps settings out of logs by accident.
func (s *Settings) String() string {
	return fmt.Sprintf("settings of %s in %s", s.Node, s.Deployment)
}
