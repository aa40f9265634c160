package assigner

import "time"

// Handover is the passage of one thing from an owner to the next.
type Handover struct {
	Key  string
	From string
	To   string
	// Until is when the former owner stops answering, if it still lives. The
	// new one reads the upstream's state afresh and never waits for the former.
	Until time.Time
}

// Ledger notes who owns each key and tells what moved.
type Ledger struct {
	owners map[string]string
	passed map[string]Handover
}

// NewLedger returns a Ledger without keys.
func NewLedger() *Ledger {
	return &Ledger{owners: make(map[string]string), passed: make(map[string]Handover)}
}

// Update takes the owners of all keys as they are now and returns what moved.
// Keys that are missing from owners are forgotten.
func (l *Ledger) Update(now time.Time, owners map[string]string) []Handover {
	var moved []Handover
	for key, to := range owners {
		from := l.owners[key]
		if from == to {
			continue
		}
		h := Handover{Key: key, From: from, To: to, Until: now.Add(handover)}
		l.passed[key] = h
		moved = append(moved, h)
	}
	l.owners = owners
	for key, h := range l.passed {
		if _, ok := owners[key]; !ok || !now.Before(h.Until) {
			delete(l.passed, key)
		}
	}
	return moved
}

// Answers reports whether a controller answers for the key: its owner, and the
// former owner until the handover ends.
func (l *Ledger) Answers(now time.Time, key, controller string) bool {
	if l.owners[key] == controller {
		return true
	}
	h, ok := l.passed[key]
	return ok && h.From == controller && now.Before(h.Until)
}
