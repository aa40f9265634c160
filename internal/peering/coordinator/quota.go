package coordinator

import (
	"fmt"
	"math"
	"time"

	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// maxQuotas bounds the quotas of one message.
const maxQuotas = 4096

// QuotaUse is what a VM reports of an organisation's quota, in whole requests or tokens.
type QuotaUse struct {
	Organisation string `cbor:"1,keyasint"`
	Used         int64  `cbor:"2,keyasint,omitempty"`
	Returned     int64  `cbor:"3,keyasint,omitempty"`
	Owed         int64  `cbor:"4,keyasint,omitempty"`
	First        int64  `cbor:"5,keyasint,omitempty"`
	Wanted       int64  `cbor:"6,keyasint,omitempty"`
}

// report returns what the VM reports as amounts.
func (u QuotaUse) report() throttler.QuotaReport {
	return throttler.QuotaReport{
		Organisation: u.Organisation,
		Used:         float64(u.Used),
		Returned:     float64(u.Returned),
		Owed:         float64(u.Owed),
		First:        float64(u.First),
		Wanted:       float64(u.Wanted),
	}
}

// QuotaGrant lets a VM use an amount of an organisation's quota.
type QuotaGrant struct {
	Organisation string `cbor:"1,keyasint"`
	Amount       int64  `cbor:"2,keyasint"`
}

// QuotaState is the state of an organisation's quota at the hub.
type QuotaState struct {
	Organisation string `cbor:"1,keyasint"`
	// Calm is true while the bucket is at least half full.
	Calm bool `cbor:"2,keyasint,omitempty"`
	// RoomMillis is the time until the bucket covers the demand of the requests that wait.
	RoomMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Quotas is a VM's part in keeping the quotas of organisations.
type Quotas interface {
	// QuotaReports returns the use since the last call and the demand of the requests that
	// wait, and whether the VM uses its own share of the quotas.
	QuotaReports() (list []throttler.QuotaReport, alone bool)
	// ApplyQuotas applies a message of the hub. reportedAt is when the report was sent that
	// the grants answer, zero if unknown.
	ApplyQuotas(states []throttler.QuotaState, grants []throttler.QuotaGrant, reportedAt time.Time)
	// EndHub is called when the connection to a hub has ended.
	EndHub()
}

func newQuotaUses(list []throttler.QuotaReport) []QuotaUse {
	uses := make([]QuotaUse, 0, len(list))
	for _, r := range list[:min(len(list), maxQuotas)] {
		uses = append(uses, QuotaUse{
			Organisation: r.Organisation,
			Used:         wholeAmount(r.Used),
			Returned:     wholeAmount(r.Returned),
			Owed:         wholeAmount(r.Owed),
			First:        wholeAmount(r.First),
			Wanted:       wholeAmount(r.Wanted),
		})
	}
	return uses
}

// wholeAmount rounds an amount, which is far below the largest integer.
func wholeAmount(amount float64) int64 { return int64(math.Round(amount)) }

func checkQuotaUses(list []QuotaUse) error {
	if len(list) > maxQuotas {
		return fmt.Errorf("got %d quotas, want at most %d", len(list), maxQuotas)
	}
	for _, u := range list {
		if u.Organisation == "" || !u.report().Valid() {
			return fmt.Errorf("quota of organisation %q: an amount is out of range", u.Organisation)
		}
	}
	return nil
}

func checkQuotaGrants(list []QuotaGrant) error {
	if len(list) > maxQuotas {
		return fmt.Errorf("got %d grants of quotas, want at most %d", len(list), maxQuotas)
	}
	for _, g := range list {
		if g.Organisation == "" || g.Amount <= 0 {
			return fmt.Errorf("grant to organisation %q: the amount is out of range", g.Organisation)
		}
	}
	return nil
}

func checkQuotaStates(list []QuotaState) error {
	if len(list) > maxQuotas {
		return fmt.Errorf("got %d quotas, want at most %d", len(list), maxQuotas)
	}
	for _, s := range list {
		if s.Organisation == "" {
			return fmt.Errorf("quota: organisation is missing")
		}
		if err := checkMillis(s.RoomMillis); err != nil {
			return fmt.Errorf("quota of organisation %q: %w", s.Organisation, err)
		}
	}
	return nil
}

func newQuotaStates(list []throttler.QuotaState) []QuotaState {
	states := make([]QuotaState, 0, len(list))
	for _, s := range list {
		states = append(states, QuotaState{s.Organisation, s.Calm, s.Room.Milliseconds()})
	}
	return states
}

func throttlerQuotas(states []QuotaState, grants []QuotaGrant) ([]throttler.QuotaState, []throttler.QuotaGrant) {
	s := make([]throttler.QuotaState, 0, len(states))
	for _, state := range states {
		s = append(s, throttler.QuotaState{Organisation: state.Organisation, Calm: state.Calm, Room: millis(state.RoomMillis)})
	}
	g := make([]throttler.QuotaGrant, 0, len(grants))
	for _, grant := range grants {
		g = append(g, throttler.QuotaGrant{Organisation: grant.Organisation, Amount: float64(grant.Amount)})
	}
	return s, g
}

// updateQuotas applies the quotas of the configuration to the allocator. The caller must
// hold h.mu.
func (h *Hub) updateQuotas(now time.Time) {
	if h.cfg.Quotas == nil {
		return
	}
	quotas, version := h.cfg.Quotas()
	if version == h.quotasVersion {
		return
	}
	h.quotasVersion = version
	h.limits.SetQuotas(now, quotas)
}

// grantQuotas hands the amounts that are due to the sessions, and reports whether there are
// any. The caller must hold h.mu.
func (h *Hub) grantQuotas(now time.Time) bool {
	grants, waiting := h.limits.AdvanceQuotas(now)
	for _, g := range grants {
		if s := g.VM; len(s.quotaGrants) < maxQuotas {
			s.quotaGrants = append(s.quotaGrants, QuotaGrant{g.Organisation, wholeAmount(g.Amount)})
		}
	}
	if waiting {
		h.quotaTimer.reset(minPushInterval, h.signal)
	}
	return len(grants) > 0
}
