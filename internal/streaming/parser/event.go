// Package parser reads server-sent events.
package parser

import (
	"bufio"
	"errors"
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

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 64 << 10

// ErrTooLarge reports an event over MaxEventBytes.
var ErrTooLarge = errors.New("event is too large")

// Reader reads the events of one stream in order.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxEventBytes)
	return &Reader{lines: lines}
}

// Next returns the next whole event. A stream that ends within an event gives
// io.ErrUnexpectedEOF, one that ends between events io.EOF.
func (r *Reader) Next() (Event, error) {
	var event Event
	started := false
	size := 0
	for r.lines.Scan() {
		line := r.lines.Text()
		if line == "" && started {
			return event, nil
		}
		if line == "" || strings.HasPrefix(line, ":") {
			continue
		}
		started = true
		size += len(line)
		if size > MaxEventBytes {
			return Event{}, ErrTooLarge
		}
		if err := event.add(line); err != nil {
			return Event{}, err
		}
	}
	if err := r.lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return Event{}, ErrTooLarge
	} else if err != nil {
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
