// Package configurer loads and validates the settings of a process. Settings
// hold its identity, location, addresses, limits and trusted keys. They contain
// no routing policy; that comes from bundles.
package configurer

import (
	"fmt"
)

// Settings is the content of one settings file.
type Settings struct {
	// Deployment is the name of the deployment. Bundles for other deployments are
	// rejected.
	Deployment string `json:"deployment"`
	// Node is the name of this VM, unique in the deployment.
	Node             string             `json:"node"`
	Region           string             `json:"region"`
	AvailabilityZone string             `json:"availability_zone"`
	Router           RouterSettings     `json:"router"`
	Controller       ControllerSettings `json:"controller"`
	Platform         PlatformSettings   `json:"platform"`
	Trust            TrustSettings      `json:"trust"`
	TLS              TLSSettings        `json:"tls,omitzero"`
	Log              LogSettings        `json:"log"`
}

// defaults returns the values of optional settings.
func defaults() Settings {
	return Settings{
		Router:     defaultRouter(),
		Controller: defaultController(),
		Trust:      TrustSettings{Threshold: 1},
		Log:        LogSettings{Format: "json", Level: "info"},
	}
}

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	names := []struct{ path, value string }{
		{"deployment", s.Deployment},
		{"node", s.Node},
		{"region", s.Region},
		{"availability_zone", s.AvailabilityZone},
	}
	for _, n := range names {
		if err := checkName(n.path, n.value); err != nil {
			return err
		}
	}
	checks := []func() error{
		s.Router.check,
		s.Controller.check,
		s.checkListeners,
		s.Platform.check,
		s.Trust.check,
		s.TLS.check,
		s.Log.check,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkListeners returns an error if two listeners have the same address. Port 0
// is exempt because the system assigns a free port.
func (s *Settings) checkListeners() error {
	listeners := []listener{
		{"router.caller_address", s.Router.CallerAddress},
		{"router.operator_address", s.Router.OperatorAddress},
		{"controller.peer_address", s.Controller.PeerAddress},
		{"controller.operator_address", s.Controller.OperatorAddress},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if a.address == b.address && a.address.Port() != 0 {
				return invalid(a.path, "address %s is already used by %s", a.address, b.path)
			}
		}
	}
	return nil
}

// String names only the node and the deployment, so that formatting settings
// does not write their contents to a log by accident.
func (s *Settings) String() string {
	return fmt.Sprintf("settings of %s in %s", s.Node, s.Deployment)
}
