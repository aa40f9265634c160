package messenger

import (
	"fmt"

	"gentianstep.example/gentianstep/internal/routing/limiter"
)

// Uses tells what routers used of the limits of organisations: a router tells
// its controller, which tells the controllers that own the organisations.
type Uses struct {
	Uses []limiter.Usage `cbor:"1,keyasint"`
}

// UseSums answers Uses with what the other routers use.
type UseSums struct {
	// Router is the one that the sums are for.
	Router string          `cbor:"1,keyasint"`
	Sums   []limiter.Usage `cbor:"2,keyasint,omitempty"`
	// Live and Listed count the routers that are alive and that the platform
	// lists; 0 where the sender leaves that to the router's own controller.
	Live   int `cbor:"3,keyasint,omitempty"`
	Listed int `cbor:"4,keyasint,omitempty"`
}

// Check reports the first fault of the uses.
func (u Uses) Check() error { return checkUses(u.Uses) }

// Check reports the first fault of the sums.
func (u UseSums) Check() error {
	if u.Router == "" || u.Live < 0 || u.Listed < 0 {
		return fmt.Errorf("use sums: takes a router and counts of 0 or more")
	}
	return checkUses(u.Sums)
}

func checkUses(uses []limiter.Usage) error {
	if err := checkBatch("uses", len(uses)); err != nil {
		return err
	}
	for _, use := range uses {
		if err := use.Check(); err != nil {
			return err
		}
	}
	return nil
}
