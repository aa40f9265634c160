package disrupter

import (
	"net/http"
	"strings"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
)

// writer lets one fault strike the writes of an answer. The stand-ins write
// one event at a time.
type writer struct {
	http.ResponseWriter
	request *http.Request
	fault   Fault
	writes  int
	headed  bool
	held    []byte
	all     []byte
	ended   bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FlushError implements the flush of http.ResponseController.
func (w *writer) FlushError() error {
	w.head()
	if w.ended {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.head()
	w.ResponseWriter.WriteHeader(status)
}

// head strikes at the head of the answer.
func (w *writer) head() {
	if w.headed {
		return
	}
	w.headed = true
	if w.fault.Place == BeforeHead {
		w.act()
	}
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	w.head()
	n := len(data)
	if w.ended {
		return n, nil
	}
	if !strings.HasPrefix(string(data), ":") {
		w.writes++
	}
	w.all = append(w.all, data...)
	if w.fault.Place == AtEvent && w.writes == w.fault.Event && w.held == nil {
		return n, w.strike(data)
	}
	if err := w.send(data); err != nil {
		return 0, err
	}
	if w.held != nil {
		held := w.held
		w.held = []byte{}
		return n, w.send(held)
	}
	return n, nil
}

func (w *writer) send(data []byte) error {
	_, err := w.ResponseWriter.Write(data)
	return err
}

// strike alters one write.
func (w *writer) strike(data []byte) error {
	switch w.fault.Kind {
	case Duplicate:
		return w.send(append(append([]byte{}, data...), data...))
	case Drop:
		return nil
	case Reorder:
		w.held = append([]byte{}, data...)
		return nil
	case Malformed:
		return w.send([]byte("id: 1\ndata: {\n\n"))
	case Oversized:
		return w.send([]byte("data: " + strings.Repeat("x", parser.MaxEventBytes+1) + "\n\n"))
	case Crossed:
		return w.send([]byte(strings.ReplaceAll(string(data), w.request.Header.Get(encoder.HeaderRequestID), "other")))
	}
	w.act()
	return nil
}

// act lets a fault strike that ends or misnames the answer.
func (w *writer) act() {
	switch w.fault.Kind {
	case Close:
		w.ended = true
	case Silent:
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	case Crossed:
		w.Header().Set(encoder.HeaderRequestID, "other")
	case Late:
		w.Header().Set(encoder.HeaderAttempt, "0")
	case Restarted:
		w.Header().Set(encoder.HeaderIncarnation, "other")
	case OtherWeights:
		w.Header().Set(encoder.HeaderWeightsVersion, "other")
	case Double:
	default:
		if w.fault.Place == AtEvent {
			_ = http.NewResponseController(w.ResponseWriter).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// finish adds what comes after a whole answer.
func (w *writer) finish() {
	if w.fault.Kind == Double {
		_ = w.send(w.all)
	}
}

// discard is a writer whose answer goes nowhere.
type discard struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}
