package caller

import "fmt"

// Failure is a failed contact with an upstream. Only failures that the contact
// itself produced have this type.
type Failure struct {
	Upstream string
	// Status is the HTTP status of the upstream's answer, 0 where it gave none.
	Status int
	// NotRun is true where no byte of the request was sent, or the upstream
	// said that it refused the request before running it.
	NotRun bool
	Err    error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Status != 0 {
		return fmt.Sprintf("upstream %s: status %d", f.Upstream, f.Status)
	}
	return fmt.Sprintf("upstream %s: %v", f.Upstream, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
