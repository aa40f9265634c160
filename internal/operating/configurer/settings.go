// Package configurer reads and checks the settings of a process. Settings say
// where a process is and whom it trusts; they steer nothing.
package configurer

import (
	"net/netip"
)

// Settings is the content of one settings file.
type Settings struct {
	// Deployment is the name that every accepted bundle must carry.
	Deployment string `json:"deployment"`
	// Node is the name of this VM, unique in the deployment.
	Node             string             `json:"node"`
	Region           string             `json:"region"`
	AvailabilityZone string             `json:"availability_zone"`
	Router           RouterSettings     `json:"router"`
	Controller       ControllerSettings `json:"controller"`
	Platform         PlatformSettings   `json:"platform"`
	Trust            TrustSettings      `json:"trust"`
	Log              LogSettings        `json:"log"`
}

// RouterSettings say where the router listens.
type RouterSettings struct {
	// CallerAddress takes requests of callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// OperatorAddress serves health, status and metrics.
	OperatorAddress netip.AddrPort `json:"operator_address"`
}

// ControllerSettings say where the controller listens and where its peers do.
type ControllerSettings struct {
	// PeerAddress takes connections of routers and of other controllers.
	PeerAddress     netip.AddrPort `json:"peer_address"`
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// Peers are first addresses of other controllers.
	Peers []netip.AddrPort `json:"peers"`
}

// PlatformSettings say where the platform's service is.
type PlatformSettings struct {
	Address netip.AddrPort `json:"address"`
}

// TrustSettings say whose bundles are accepted.
type TrustSettings struct {
	BundleKeys []BundleKey `json:"bundle_keys"`
	// Threshold is the number of different signers that a bundle needs.
	Threshold int `json:"threshold"`
}

// BundleKey is the public key of a signer of bundles.
type BundleKey struct {
	ID string `json:"id"`
	// PublicKey is an Ed25519 public key in base64.
	PublicKey []byte `json:"public_key"`
}

// LogSettings say what the log looks like.
type LogSettings struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "debug", "info", "warning" or "error".
	Level string `json:"level"`
}
