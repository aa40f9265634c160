package assigner

import "time"

// Handover is the transfer of a key to a new owner.
type Handover struct {
	Key string
	// From is the previous owner, or empty if the key had none.
	From string
	To   string
	// Until is when the previous owner stops answering, if it is still running. The
	// new owner reads the state of the upstream itself and never waits for the
	// previous one.
	Until time.Time
}

// HandoverTracker tracks the owner of each key and the handovers in progress.
type HandoverTracker struct {
	owners    map[string]string
	handovers map[string]Handover
}

// NewHandoverTracker returns a HandoverTracker without keys.
func NewHandoverTracker() *HandoverTracker {
	return &HandoverTracker{owners: make(map[string]string), handovers: make(map[string]Handover)}
}

// SetOwners replaces the owners of all keys and returns the handovers that this
// starts. Keys that are missing from owners are removed.
func (t *HandoverTracker) SetOwners(now time.Time, owners map[string]string) []Handover {
	var started []Handover
	for key, to := range owners {
		from := t.owners[key]
		if from == to {
			continue
		}
		h := Handover{Key: key, From: from, To: to, Until: now.Add(handoverPeriod)}
		t.handovers[key] = h
		started = append(started, h)
	}
	t.owners = owners
	for key, h := range t.handovers {
		if _, ok := owners[key]; !ok || !now.Before(h.Until) {
			delete(t.handovers, key)
		}
	}
	return started
}

// MayAnswer reports whether a controller may answer for the key: its owner, or its
// previous owner until the handover ends.
func (t *HandoverTracker) MayAnswer(now time.Time, key, controller string) bool {
	if t.owners[key] == controller {
		return true
	}
	h, ok := t.handovers[key]
	return ok && h.From == controller && now.Before(h.Until)
}
