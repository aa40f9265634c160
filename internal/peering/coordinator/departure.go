package coordinator

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/withholder"
)

const (
	// maxDepartures bounds the departures that the hub keeps and that a message holds.
	maxDepartures = 4096
	// departureTTL is how long the hub tells VMs of a departure after it was reported.
	departureTTL = 10 * time.Minute
)

// Departure states that an upstream has told a VM that it is leaving.
type Departure struct {
	Upstream string         `cbor:"1,keyasint"`
	Address  netip.AddrPort `cbor:"2,keyasint"`
	// StartedMillis is the start of its process in Unix milliseconds, 0 if unknown.
	StartedMillis int64 `cbor:"3,keyasint,omitempty"`
}

func newDepartures(list []withholder.Incarnation) []Departure {
	departures := make([]Departure, 0, len(list))
	for _, i := range list {
		departures = append(departures, Departure{Upstream: i.ID, Address: i.Address, StartedMillis: registrar.StartMillis(i.StartedAt)})
	}
	return departures[:min(len(departures), maxDepartures)]
}

func incarnations(list []Departure) []withholder.Incarnation {
	converted := make([]withholder.Incarnation, 0, len(list))
	for _, d := range list {
		i := withholder.Incarnation{ID: d.Upstream, Address: d.Address}
		if d.StartedMillis != 0 {
			i.StartedAt = time.UnixMilli(d.StartedMillis)
		}
		converted = append(converted, i)
	}
	return converted
}

func checkDepartures(list []Departure) error {
	if len(list) > maxDepartures {
		return fmt.Errorf("got %d departures, want at most %d", len(list), maxDepartures)
	}
	for _, d := range list {
		if d.Upstream == "" || !d.Address.IsValid() || d.StartedMillis < 0 {
			return errors.New("departure: upstream, address or start is invalid")
		}
	}
	return nil
}

// addDepartures adds departures that a VM has reported. The caller must hold h.mu.
func (h *Hub) addDepartures(now time.Time, list []Departure) {
	for _, d := range list {
		if _, known := h.departures[d]; known || len(h.departures) >= maxDepartures {
			continue
		}
		h.departures[d] = now.Add(departureTTL)
		h.changedDepartures[d] = struct{}{}
		notify(h.urgent)
	}
}

// expireDepartures removes the departures that were reported long ago. The caller must
// hold h.mu.
func (h *Hub) expireDepartures(now time.Time) {
	for d, until := range h.departures {
		if now.After(until) {
			delete(h.departures, d)
			delete(h.changedDepartures, d)
			h.full = nil
		}
	}
}
