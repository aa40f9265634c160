// Package configurer reads and checks the settings of a process. Settings say
// where a process is and whom it trusts; they steer nothing.
package configurer

import (
	"fmt"
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
	TLS              TLSSettings        `json:"tls,omitzero"`
	Log              LogSettings        `json:"log"`
}

// defaults returns the settings that a file need not name.
func defaults() Settings {
	return Settings{
		Router:     defaultRouter(),
		Controller: defaultController(),
		Trust:      TrustSettings{Threshold: 1},
		Log:        LogSettings{Format: "json", Level: "info"},
	}
}

// Check reports the first fault of the settings.
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

// checkListeners reports two listeners of one VM on the same address.
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
				return invalid(a.path, "got %s, which %s has already", a.address, b.path)
			}
		}
	}
	return nil
}

// String keeps settings out of logs by accident.
func (s *Settings) String() string {
	return fmt.Sprintf("settings of %s in %s", s.Node, s.Deployment)
}
