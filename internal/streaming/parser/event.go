// Package parser parses streams of server-sent events.
package parser

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Event is a server-sent event.
type Event struct {
	// ID is the number of the event in its stream, 0 if it has none.
	ID uint64
	// Name is the event type, empty for the default type.
	Name string
	// Data is the payload; several data lines are joined with newlines.
	Data string
}

// MaxEventBytes is the maximum size of an event, field names and the comments and empty
// lines before it included.
const MaxEventBytes = 64 << 10

// ErrTooLarge is returned for an event of more than MaxEventBytes.
var ErrTooLarge = errors.New("server-sent event exceeds the size limit")

// Reader reads the events of a stream in order.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a Reader that reads the stream r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxEventBytes)
	return &Reader{lines: lines}
}

// Next returns the next complete event. It returns io.EOF if the stream ends
// between events, and io.ErrUnexpectedEOF if it ends within an event. Comment lines
// are skipped.
func (r *Reader) Next() (Event, error) {
	var event Event
	started := false
	size := 0
	for r.lines.Scan() {
		line := r.lines.Text()
		if line == "" && started {
			return event, nil
		}
		size += len(line) + 1
		if size > MaxEventBytes {
			return Event{}, ErrTooLarge
		}
		if line == "" || strings.HasPrefix(line, ":") {
			continue
		}
		started = true
		if err := event.parseLine(line); err != nil {
			return Event{}, err
		}
	}
	if err := r.lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return Event{}, ErrTooLarge
	} else if err != nil {
		return Event{}, fmt.Errorf("read server-sent event: %w", err)
	}
	if started {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

// parseLine adds the field of a line to the event. Unknown fields are ignored.
func (e *Event) parseLine(line string) error {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		id, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return fmt.Errorf("parse id of server-sent event: %w", err)
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
