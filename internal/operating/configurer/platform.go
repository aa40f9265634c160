package configurer

import "net/netip"

// PlatformSettings hold the address of the platform's service.
type PlatformSettings struct {
	Address netip.AddrPort `json:"address"`
}

func (p PlatformSettings) check() error {
	return checkAddress("platform.address", p.Address)
}
