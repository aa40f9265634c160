package caller

import "context"

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
