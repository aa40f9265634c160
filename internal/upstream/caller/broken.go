package caller

import (
	"errors"
	"io"
	"net/textproto"
	"syscall"

	"gentianstep.example/gentianstep/internal/upstream/screener"
)

// BrokenReason is why a response that has begun is not taken. Its values are those of a metric
// label.
type BrokenReason string

// Reasons for which responses are not taken.
const (
	// BrokenHead is a malformed head.
	BrokenHead BrokenReason = "head"
	// BrokenTrailer is a malformed trailer.
	BrokenTrailer BrokenReason = "trailer"
	// BrokenReset is a connection that was reset, or found dead, within the response.
	BrokenReset BrokenReason = "reset"
	// BrokenCutOff is a response that has ended before it was complete.
	BrokenCutOff BrokenReason = "cut_off"
)

// brokenReason returns the reason for an error of a response, empty for any other.
func brokenReason(err error) BrokenReason {
	var malformed textproto.ProtocolError
	switch {
	case errors.Is(err, screener.ErrHead), errors.As(err, &malformed):
		return BrokenHead
	case errors.Is(err, screener.ErrTrailer):
		return BrokenTrailer
	case errors.Is(err, screener.ErrReset), errors.Is(err, syscall.ECONNRESET):
		return BrokenReset
	case errors.Is(err, io.ErrUnexpectedEOF):
		return BrokenCutOff
	}
	return ""
}

// countBroken counts a broken response; an empty reason stands for none.
func (c *Caller) countBroken(reason BrokenReason) {
	if reason != "" && c.onBroken != nil {
		c.onBroken(reason)
	}
}
