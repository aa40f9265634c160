// Package tracker implements the group membership of controllers with SWIM-style
// failure detection and gossip. Each controller probes one peer per interval and
// piggybacks membership changes on its messages, so that its send rate does not
// grow with the number of peers. The view is eventually consistent and may be
// wrong: safety must not depend on it. The package does no I/O, starts no goroutine
// and reads no clock.
package tracker

// State is the state of a member in the view of one controller.
type State uint8

// States of a member. Within one incarnation, the higher state overrides the lower.
const (
	Alive State = iota + 1
	// Suspect is a member that did not answer a probe. It is declared dead unless
	// it refutes the suspicion in time.
	Suspect
	// Leaving is a member that is shutting down and still answers.
	Leaving
	Dead
)

var stateNames = map[State]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String returns the name of the state in logs.
func (s State) String() string {
	name, ok := stateNames[s]
	if !ok {
		return "unknown"
	}
	return name
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
