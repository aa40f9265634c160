// Package parser reads server-sent events.
package parser

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Event is one server-sent event.
type Event struct {
	// ID is the event's number in its stream, 0 where it has none.
	ID   uint64
	Name string
	Data string
}

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// Reader reads the events of one stream in order.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	return &Reader{lines: lines}
}

// Next returns the next whole event. A stream that ends within an event gives
// io.ErrUnexpectedEOF, one that ends between events io.EOF.
func (r *Reader) Next() (Event, error) {
	var event Event
	started := false
	for r.lines.Scan() {
		line := r.lines.Text()
		if line == "" && started {
			return event, nil
		}
		if line == "" || strings.HasPrefix(line, ":") {
			continue
		}
		started = true
		if err := event.add(line); err != nil {
			return Event{}, err
		}
	}
	if err := r.lines.Err(); err != nil {
		return Event{}, fmt.Errorf("read event: %w", err)
	}
	if started {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

func (e *Event) add(line string) error {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		id, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return fmt.Errorf("event id: %w", err)
		}
		e.ID = id
	case "event":
		e.Name = value
	case "data":
		if e.Data != "" {
			e.Data += "\n"
		}
		e.Data += value
	}
	return nil
}
