package messenger

import (
	"fmt"

	"gentianstep.example/gentianstep/internal/routing/limiter"
)

// UsageReport reports how much of the limits of organisations routers use. A router
// sends it to its controller, which forwards it to the controllers that own the
// organisations.
type UsageReport struct {
	Usages []limiter.Usage `cbor:"1,keyasint"`
}

// UsageTotals is the response to a UsageReport, with the usage of the other routers.
type UsageTotals struct {
	// Router is the node of the router that the totals are for.
	Router string          `cbor:"1,keyasint"`
	Totals []limiter.Usage `cbor:"2,keyasint,omitempty"`
	// LiveRouters is the number of routers that are alive, ListedRouters that of the
	// routers in the platform's list. Both are 0 if the router's own controller is to
	// fill them in.
	LiveRouters   int `cbor:"3,keyasint,omitempty"`
	ListedRouters int `cbor:"4,keyasint,omitempty"`
	// Nodes lists the nodes of the live and the listed routers, if LiveRouters is set.
	Nodes []string `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if there are too many usages or one is invalid.
func (u UsageReport) Check() error { return checkUsages(u.Usages) }

// Check returns an error if the router is missing, or a count or total is invalid.
func (u UsageTotals) Check() error {
	if u.Router == "" || u.LiveRouters < 0 || u.ListedRouters < 0 {
		return fmt.Errorf("usage totals: router is missing or a count is negative")
	}
	if err := checkBatch("nodes", len(u.Nodes)); err != nil {
		return err
	}
	return checkUsages(u.Totals)
}

func checkUsages(usages []limiter.Usage) error {
	if err := checkBatch("uses", len(usages)); err != nil {
		return err
	}
	for _, usage := range usages {
		if err := usage.Check(); err != nil {
			return err
		}
	}
	return nil
}
