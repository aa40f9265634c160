package gatekeeper

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// ticket is one request at the gate.
type ticket struct {
	// key is unique at this gate, id is the caller's.
	key          string
	id           string
	organisation string
	priority     checker.Priority
	arrivedAt    time.Time
	// verdict holds one place, so that the gate never waits for a handler.
	verdict chan error
}
