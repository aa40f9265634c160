package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

var (
	// errNoBody is returned for a success without a length and without a byte. Upstreams that
	// stop within a head leave one if something on the way ends the head.
	errNoBody = fmt.Errorf("response without a length has no body: %w", io.ErrUnexpectedEOF)
	// errHeadInBody is returned for a body that begins with fields of the head.
	errHeadInBody = errors.New("body of a response without a length begins with a part of its head")
)

// framingFields are the fields that state where a body ends, in lower case and without their
// first byte, which may be what has ended the head.
var framingFields = [][]byte{[]byte("ontent-length:"), []byte("ransfer-encoding:")}

// CheckBody returns an error if a response that has ended cannot be complete, whatever its
// upstream does now.
func (a *Response) CheckBody() error {
	success := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	if !a.Framed && success && !a.started {
		a.countBroken(BrokenCutOff)
		return errNoBody
	}
	return nil
}

// beginsWithFields reports whether the first bytes of a body hold a field that states where it
// ends, before an empty line.
func beginsWithFields(data []byte) bool {
	for line := range bytes.Lines(bytes.TrimLeft(data, "\r\n")) {
		line = bytes.ToLower(bytes.TrimRight(line, "\r\n"))
		if len(line) == 0 {
			return false
		}
		for _, field := range framingFields {
			if bytes.HasPrefix(line, field) || bytes.HasPrefix(line[1:], field) {
				return true
			}
		}
	}
	return false
}
