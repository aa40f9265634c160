package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// streamReadBytes is the size of one read of a stream; events are far smaller.
const streamReadBytes = 4 << 10

// maxIdleBytes bounds the bytes of a stream after which the next numbered event must have
// followed. Comments, empty lines and events that the client has count towards it.
const maxIdleBytes = 4 * parser.MaxEventBytes

// errNoProgress is returned for a stream that sends bytes but no events.
var errNoProgress = errors.New("stream sends bytes without a new event")

// errClientGone is returned if writing to the client failed, since it has
// disconnected or stopped reading.
var errClientGone = errors.New("write events to client")

// relayStream sends the events of a stream to the client as they arrive. Only
// complete events are sent, so that another upstream can resume the stream.
func (x *exchange) relayStream(ctx context.Context, answer *caller.Response) error {
	err := x.copyEvents(ctx, answer)
	if err == nil {
		err = x.beginStream(answer) // one without an event
	}
	if err == nil {
		x.recordAnswer(answer)
		err = answer.Finish()
		x.response.complete()
		x.recordOutcome(answer.Status, outcomeAnswered, err)
		return nil
	}
	answer.Discard()
	return err
}

// beginStream begins the response of a stream unless it has begun.
func (x *exchange) beginStream(answer *caller.Response) error {
	if x.response.begun() {
		return nil
	}
	return x.response.begin(answer.Status, x.copyHeader(answer))
}

// copyEvents sends the events of a stream to the client until its end. A stream that breaks
// off gives io.ErrUnexpectedEOF.
func (x *exchange) copyEvents(ctx context.Context, answer *caller.Response) error {
	var pending []byte
	buffer := make([]byte, streamReadBytes)
	idleBytes, lastEvent := 0, x.sequence.last
	x.sequence.beginAttempt()
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		idleBytes += n
		complete := completeEventsLen(pending)
		if complete > 0 {
			if err := x.sendEvents(answer, pending[:complete]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		if x.sequence.last != lastEvent {
			idleBytes, lastEvent = 0, x.sequence.last
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.checkStreamEnd(ctx, answer, len(pending))
		case err != nil && x.withdrawal.end() != nil:
			return errWithdrawn
		case err != nil:
			return err
		case len(pending) > parser.MaxEventBytes:
			return parser.ErrTooLarge
		case idleBytes > maxIdleBytes:
			return errNoProgress
		}
	}
}

// checkStreamEnd returns io.ErrUnexpectedEOF for a stream that has ended with its connection
// or its last chunk, but within an event, before the first one, behind one that the client
// has followed by others, or since its upstream has crashed.
func (x *exchange) checkStreamEnd(ctx context.Context, answer *caller.Response, pending int) error {
	hasEvents := x.events > 0 || x.sequence.last != ""
	if !answer.Framed {
		hasEvents = x.events > x.eventsBefore
	}
	if pending > 0 || !hasEvents || x.sequence.behind {
		return io.ErrUnexpectedEOF
	}
	return x.checkEnd(ctx, answer)
}

// completeEventsLen returns the length of the complete events at the start of
// data.
func completeEventsLen(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if crlf := bytes.LastIndex(data, []byte("\r\n\r\n")); crlf >= 0 && crlf+2 > end {
		return crlf + 4
	}
	if end < 0 {
		return 0
	}
	return end + 2
}

// sendEvents sends complete events to the client. It skips events that the
// client has received before; a gap in the event numbers is an error.
func (x *exchange) sendEvents(answer *caller.Response, data []byte) error {
	if err := x.withdrawal.end(); err != nil {
		return err
	}
	if x.markPromptRead() && x.firstByteAt.IsZero() {
		x.mu.Lock()
		x.picker.RecordFirstEvent(x.choice, time.Since(x.sentAt))
		x.sampleSpeed(time.Now())
		x.mu.Unlock()
	}
	data, orderErr := x.dropSeenEvents(data)
	if len(data) == 0 {
		return orderErr
	}
	if x.firstByteAt.IsZero() {
		x.firstByteAt = time.Now()
	}
	if err := x.beginStream(answer); err != nil {
		return err
	}
	x.releaseSentBody(answer)
	if _, err := x.response.Write(data); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	if err := x.response.flush(); err != nil {
		return fmt.Errorf("%w: %w", errClientGone, err)
	}
	return orderErr
}

// dropSeenEvents returns the events of data that the client has not received, and records
// them as sent. With an error it returns those before the event that is not the next one.
func (x *exchange) dropSeenEvents(data []byte) ([]byte, error) {
	kept := data[:0:0]
	for len(data) > 0 {
		end := firstEventLen(data)
		event := data[:end]
		data = data[end:]
		id := eventID(event)
		switch {
		case id != "":
			skip, err := x.sequence.accept(id, event)
			if err != nil {
				return kept, err
			}
			x.resumed = true
			if skip {
				continue
			}
		case isComment(event):
			kept = append(kept, event...)
			continue
		case !x.resumed:
			return kept, errNotResumed
		default:
			x.sequence.acceptUnnumbered()
		}
		x.events++
		kept = append(kept, event...)
	}
	return kept, nil
}

// firstEventLen returns the length of the first event of data.
func firstEventLen(data []byte) int {
	end := len(data)
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 && i+4 < end {
		end = i + 4
	}
	return end
}

// eventID returns the value of the id field, empty if there is none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
