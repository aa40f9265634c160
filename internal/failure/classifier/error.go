package classifier

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error with a kind, a detail for the caller and an optional cause.
type Error struct {
	Kind Kind
	// Detail is sent to the caller; it must not contain secrets.
	Detail string
	// RetryAt is the earliest time for a retry; zero applies the RetryAfter of the
	// kind's Answer.
	RetryAt time.Time
	// Final is true if the caller should not retry within the request's time,
	// whatever the kind.
	Final bool
	// Err is the wrapped cause; it is logged and never sent to the caller.
	Err error
}

// New returns an error with the given kind and a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the given kind and a formatted detail that wraps err.
func Wrap(kind Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Err: err}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Err)
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an Error of the same kind.
func (e *Error) Is(target error) bool {
	var other *Error
	if !errors.As(target, &other) {
		return false
	}
	return e.Kind == other.Kind
}

// IsKind reports whether err is or wraps an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// KindOf returns the kind of err, or Internal if err has no known kind.
func KindOf(err error) Kind {
	var e *Error
	if !errors.As(err, &e) {
		return Internal
	}
	if _, known := answers[e.Kind]; !known {
		return Internal
	}
	return e.Kind
}
