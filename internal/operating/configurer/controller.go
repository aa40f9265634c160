package configurer

import (
	"fmt"
	"net/netip"
	"slices"
)

// ControllerSettings hold the listen addresses of the controller and the
// addresses of its peers.
type ControllerSettings struct {
	// PeerAddress accepts connections from routers and other controllers.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// OperatorAddress serves health, status and metrics.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// Peers are the initial addresses of other controllers.
	Peers []netip.AddrPort `json:"peers"`
	// MaxConnections limits the open connections of routers and controllers.
	MaxConnections int `json:"max_connections,omitzero"`
}

func defaultController() ControllerSettings {
	return ControllerSettings{MaxConnections: 2048}
}

func (c ControllerSettings) check() error {
	if err := checkListenAddress("controller.peer_address", c.PeerAddress); err != nil {
		return err
	}
	if err := checkListenAddress("controller.operator_address", c.OperatorAddress); err != nil {
		return err
	}
	for i, peer := range c.Peers {
		path := fmt.Sprintf("controller.peers[%d]", i)
		if err := checkAddress(path, peer); err != nil {
			return err
		}
		if slices.Contains(c.Peers[:i], peer) {
			return invalid(path, "duplicate address %s", peer)
		}
	}
	return checkCount("controller.max_connections", c.MaxConnections)
}
