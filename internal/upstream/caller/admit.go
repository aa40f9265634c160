package caller

import (
	"context"
	"net/http"
	"time"
)

// Notices holds what upstreams state about themselves in their responses.
type Notices interface {
	// Admit returns an error if a call must not be sent to an upstream now.
	Admit(t Target, call Call) error
	// Record records the head of a response to an attempt that began at sentAt. own is false
	// if the response belongs to another call.
	Record(t Target, sentAt time.Time, status int, h http.Header, own bool)
}

// admission returns a function that reports whether a call may be sent, and
// otherwise ends the call with the error of admit. It returns nil for nil.
func admission(admit func() error, cancel context.CancelCauseFunc) func() bool {
	if admit == nil {
		return nil
	}
	return func() bool {
		err := admit()
		if err != nil {
			cancel(err)
		}
		return err == nil
	}
}
