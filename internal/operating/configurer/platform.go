package configurer

import "net/netip"

// PlatformSettings say where the platform's service is.
type PlatformSettings struct {
	Address netip.AddrPort `json:"address"`
}

func (p PlatformSettings) check() error {
	return checkAddress("platform.address", p.Address)
}
