package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// errResponseBegun is returned for a second response to a request.
var errResponseBegun = errors.New("the response to the client has begun")

// response is the response to the client. Nothing else writes to the client's connection.
// Once it has begun it takes nothing but its own rest, and it ends as complete only if
// complete was called.
type response struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// status is the status that the client got, 0 before the response has begun.
	status int
	// mediaType and encoding are those of the response.
	mediaType string
	encoding  string
	completed bool
	// chunked is true if the client understands chunks. A response without a length ends with
	// its connection otherwise.
	chunked bool
}

func newResponse(w http.ResponseWriter, r *http.Request) *response {
	return &response{w: w, control: http.NewResponseController(w), chunked: r.ProtoAtLeast(1, 1)}
}

// begun reports whether the client may have got a part of the response.
func (p *response) begun() bool { return p.status != 0 }

// begin sends the header that setHeader sets.
func (p *response) begin(status int, setHeader func(h http.Header)) error {
	if p.begun() {
		return errResponseBegun
	}
	setHeader(p.w.Header())
	p.status, p.mediaType, p.encoding = status, mediaType(p.w.Header()), p.w.Header().Get("Content-Encoding")
	p.w.WriteHeader(status)
	return nil
}

// isContinuedBy reports whether the response of another upstream may hold the rest of this
// one: it is of the same kind. An error, or a text of another type or encoding, is not.
func (p *response) isContinuedBy(status int, h http.Header) bool {
	return status == p.status && mediaType(h) == p.mediaType && h.Get("Content-Encoding") == p.encoding
}

// mediaType returns the type of a body without its parameters, which may be malformed. It is
// empty if none is stated.
func mediaType(h http.Header) string {
	text, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

// Write implements io.Writer.
func (p *response) Write(data []byte) (int, error) {
	if !p.begun() || p.completed {
		return 0, fmt.Errorf("write %d bytes outside of the response to the client", len(data))
	}
	n, err := p.w.Write(data)
	if err != nil {
		return n, fmt.Errorf("write response to client: %w", err)
	}
	return n, nil
}

// flush sends what was written.
func (p *response) flush() error { return p.control.Flush() }

// complete records that nothing of the response is missing.
func (p *response) complete() { p.completed = true }

// sendWhole sends a response whose body is at hand.
func (p *response) sendWhole(status int, body []byte, isHead bool, setHeader func(h http.Header)) error {
	err := p.begin(status, func(h http.Header) {
		setHeader(h)
		if !isHead {
			h.Set("Content-Length", strconv.Itoa(len(body)))
		}
	})
	if err != nil {
		return err
	}
	if _, err := p.Write(body); err != nil {
		return err
	}
	p.complete()
	return nil
}

// end ends the response. It aborts the connection of one that is not complete, so that it
// does not look complete.
func (p *response) end() {
	if p.completed {
		return
	}
	if p.begun() && !p.chunked {
		p.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection. Its usual end would look like that of the response.
func (p *response) reset() {
	conn, _, err := p.control.Hijack()
	if err != nil {
		return // HTTP/1 connections allow it, others state the end of a response
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// result returns how the response ends, for the log.
func (p *response) result() string {
	if p.completed {
		return "complete"
	}
	return "broken_off"
}

// closeAfter makes the connection end with the response.
func (p *response) closeAfter() { p.w.Header().Set("Connection", "close") }

// limitBody returns the body of the request, of which at most limit bytes are read.
func (p *response) limitBody(body io.ReadCloser, limit int64) io.ReadCloser {
	return http.MaxBytesReader(p.w, body, limit)
}

// setReadDeadline bounds reading the request; zero sets no bound.
func (p *response) setReadDeadline(at time.Time) error { return p.control.SetReadDeadline(at) }

// setWriteDeadline bounds writing the response; zero sets no bound.
func (p *response) setWriteDeadline(at time.Time) error { return p.control.SetWriteDeadline(at) }
