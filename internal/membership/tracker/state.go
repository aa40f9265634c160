// Package tracker follows which controllers are alive. Each one pings a peer a
// period, spreads what changed on the back of those messages and never sends
// more however many peers there are. Its view is a hint: it lags and may be
// wrong, and nothing unsafe may follow from it. It does no I/O, starts no
// goroutine and reads no clock.
package tracker

// State is what is believed of a member.
type State uint8

// States of a member. Of two reports with one incarnation the higher wins.
const (
	Alive State = iota + 1
	// Suspect did not answer and is declared dead unless it objects.
	Suspect
	// Leaving has announced its shutdown; it still answers.
	Leaving
	Dead
)

var stateNames = map[State]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String returns the name that logs show.
func (s State) String() string {
	name, ok := stateNames[s]
	if !ok {
		return "unknown"
	}
	return name
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
