package classifier

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error of one listed kind.
type Error struct {
	Kind Kind
	// Detail is safe to show to a caller; it never holds a secret.
	Detail string
	// RetryAt is the moment to come back, or zero where the table decides.
	RetryAt time.Time
	// Err is the wrapped cause; it is logged and never shown to a caller.
	Err error
}

// New returns an error of kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind around err.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an Error of the same kind.
func (e *Error) Is(target error) bool {
	var other *Error
	if !errors.As(target, &other) {
		return false
	}
	return e.Kind == other.Kind
}

// IsKind reports whether err is, or wraps, an Error of kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// KindOf returns the kind of err, Internal where it has none that is listed.
func KindOf(err error) Kind {
	var e *Error
	if !errors.As(err, &e) {
		return Internal
	}
	if _, listed := answers[e.Kind]; !listed {
		return Internal
	}
	return e.Kind
}
