package gatekeeper

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// trackedRequest is a waiting or running request.
type trackedRequest struct {
	// key is unique within the gate. The request ID of the caller, id, may not
	// be.
	key          string
	id           string
	organisation string
	priority     checker.Priority
	arrivedAt    time.Time
	// decision receives nil on admission or the error of the refusal. It has a
	// buffer of one, so that the gate does not block on a handler.
	decision chan error
}
