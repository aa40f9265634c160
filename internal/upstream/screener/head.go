package screener

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// ErrHead is returned for a response whose head is malformed. Nothing that it states holds.
var ErrHead = errors.New("response has a malformed head")

// maxQuotedBytes bounds what errors quote of a malformed line.
const maxQuotedBytes = 64

// part is the part of a response that the next byte belongs to.
type part int

const (
	statusLine part = iota
	fieldLines
	// body is all that follows the head.
	body
)

// head checks the head of a response, and those of interim responses before it, as their
// bytes arrive. Of what RFC 9112 does not allow, net/http takes statuses below 100 and names
// with a blank, and joins a line that begins with one to the field before it. The transport
// bounds the size of heads.
type head struct {
	part part
	// interim is true if another head follows.
	interim bool
	// line is the part of the present line that has arrived.
	line []byte
}

// check checks the next bytes of a response.
func (h *head) check(data []byte) error {
	for len(data) > 0 && h.part != body {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		h.line = append(h.line, line...)
		if !ended {
			return nil
		}
		if err := h.endLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line, data = h.line[:0], rest
	}
	return nil
}

// endLine checks a line without its end.
func (h *head) endLine(line []byte) error {
	switch {
	case h.part == statusLine:
		h.part = fieldLines
		return h.checkStatus(line)
	case len(line) > 0:
		return checkField(line)
	case h.interim:
		h.part = statusLine
	default:
		h.part = body
	}
	return nil
}

// checkStatus checks the status in a status line, whose version net/http checks.
func (h *head) checkStatus(line []byte) error {
	_, status, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	if n, err := strconv.ParseUint(string(code), 10, 16); err != nil || n < http.StatusContinue {
		return fmt.Errorf("%w: status %q", ErrHead, quoted(code))
	}
	h.interim = code[0] == '1' && string(code) != "101"
	return nil
}

// checkField checks a line of the head. One that begins with a blank would continue the field
// before it.
func checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return fmt.Errorf("%w: field name %q", ErrHead, quoted(name))
	}
	return nil
}

func quoted(text []byte) []byte { return text[:min(len(text), maxQuotedBytes)] }
