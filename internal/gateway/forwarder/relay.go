package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// readBytes is the size of one read of a stream; events are far smaller.
const readBytes = 4 << 10

// errClientGone reports a client that takes no more of its answer.
var errClientGone = errors.New("client takes no more")

// relay hands over the events of a stream as they come. Only whole events go
// to the client, so that the stream can go on at another upstream.
func (x *exchange) relay(answer *caller.Answer) error {
	if !x.committed {
		x.head(answer)
		x.w.WriteHeader(answer.Status)
	}
	err := x.copyEvents(answer)
	if err == nil {
		err = answer.Finish()
		x.finish(http.StatusOK, outcomeAnswered, err)
		return nil
	}
	answer.Discard()
	return err
}

// copyEvents returns nil at the end of a whole stream.
func (x *exchange) copyEvents(answer *caller.Answer) error {
	var pending []byte
	buffer := make([]byte, readBytes)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := wholeEvents(pending)
		if whole > 0 {
			if err := x.sendEvents(pending[:whole]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(pending) > parser.MaxEventBytes:
			return parser.ErrTooLarge
		}
	}
}

// wholeEvents returns the length of the whole events that data begins with.
func wholeEvents(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if crlf := bytes.LastIndex(data, []byte("\r\n\r\n")); crlf >= 0 && crlf+2 > end {
		return crlf + 4
	}
	if end < 0 {
		return 0
	}
	return end + 2
}

// sendEvents hands whole events to the client. Events that it already has are
// left out; a hole in their numbers ends the answer.
func (x *exchange) sendEvents(data []byte) error {
	if x.begun() && x.firstByteAt.IsZero() {
		x.mu.Lock()
		x.picker.Observed(x.choice, time.Since(x.sentAt))
		x.mu.Unlock()
	}
	data, err := x.unseen(data)
	if err != nil || len(data) == 0 {
		return err
	}
	if x.firstByteAt.IsZero() {
		x.firstByteAt = time.Now()
	}
	if _, err := x.w.Write(data); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	return nil
}

// unseen returns the events of data that follow the last one that the client
// has, and notes them.
func (x *exchange) unseen(data []byte) ([]byte, error) {
	kept := data[:0:0]
	for len(data) > 0 {
		end := nextEvent(data)
		event := data[:end]
		data = data[end:]
		id := eventID(event)
		if id != "" {
			skip, err := x.inOrder(id)
			if err != nil {
				return nil, err
			}
			if skip {
				continue
			}
			x.lastEvent = id
		}
		x.events++
		kept = append(kept, event...)
	}
	return kept, nil
}

func nextEvent(data []byte) int {
	end := len(data)
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 && i+4 < end {
		end = i + 4
	}
	return end
}

// eventID returns the value of the id field, empty where there is none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// inOrder reports whether the client has the event already. Numbers that are
// not consecutive are an error.
func (x *exchange) inOrder(id string) (skip bool, err error) {
	if x.lastEvent == "" {
		return false, nil
	}
	last, lastErr := strconv.ParseUint(x.lastEvent, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return false, nil // identifiers that are no numbers have no order
	}
	if next <= last {
		return true, nil
	}
	if next > last+1 {
		return false, fmt.Errorf("event %d follows event %d", next, last)
	}
	return false, nil
}
