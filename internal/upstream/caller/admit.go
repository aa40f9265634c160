package caller

import (
	"context"
	"net/http"
)

// Notices holds what upstreams state about themselves in their responses.
type Notices interface {
	// Admit returns an error if a call must not be sent to an upstream now.
	Admit(t Target, call Call) error
	// Record records the head of a response.
	Record(t Target, status int, h http.Header)
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
