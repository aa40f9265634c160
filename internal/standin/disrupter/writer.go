package disrupter

import (
	"net/http"
	"strings"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
)

// faultWriter injects a fault into the response that is written through it. It
// counts writes as events, since the test doubles write one event at a time.
// Comments, which begin with a colon, don't count.
type faultWriter struct {
	http.ResponseWriter
	request      *http.Request
	fault        Fault
	writes       int
	headInjected bool
	// delayed is the event that Reorder sends after the next one. Once it is sent,
	// it is empty but not nil.
	delayed []byte
	body    []byte
	ended   bool
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *faultWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FlushError implements flushing for http.ResponseController.
func (w *faultWriter) FlushError() error {
	w.injectAtHead()
	if w.ended {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// WriteHeader implements http.ResponseWriter.
func (w *faultWriter) WriteHeader(status int) {
	w.injectAtHead()
	w.ResponseWriter.WriteHeader(status)
}

// injectAtHead applies the fault before the first output if its place is
// BeforeHead.
func (w *faultWriter) injectAtHead() {
	if w.headInjected {
		return
	}
	w.headInjected = true
	if w.fault.Place == BeforeHead {
		w.applyToResponse()
	}
}

// Write implements http.ResponseWriter.
func (w *faultWriter) Write(data []byte) (int, error) {
	w.injectAtHead()
	n := len(data)
	if w.ended {
		return n, nil
	}
	if !strings.HasPrefix(string(data), ":") {
		w.writes++
	}
	w.body = append(w.body, data...)
	if w.fault.Place == AtEvent && w.writes == w.fault.Event && w.delayed == nil {
		return n, w.alterWrite(data)
	}
	if err := w.send(data); err != nil {
		return 0, err
	}
	if w.delayed != nil {
		delayed := w.delayed
		w.delayed = []byte{}
		return n, w.send(delayed)
	}
	return n, nil
}

func (w *faultWriter) send(data []byte) error {
	_, err := w.ResponseWriter.Write(data)
	return err
}

// alterWrite applies the fault to the write of data.
func (w *faultWriter) alterWrite(data []byte) error {
	switch w.fault.Kind {
	case Duplicate:
		return w.send(append(append([]byte{}, data...), data...))
	case Drop:
		return nil
	case Reorder:
		w.delayed = append([]byte{}, data...)
		return nil
	case Malformed:
		return w.send([]byte("id: 1\ndata: {\n\n"))
	case Oversized:
		return w.send([]byte("data: " + strings.Repeat("x", parser.MaxEventBytes+1) + "\n\n"))
	case Flood:
		w.flood()
		return w.send(data)
	case Crossed:
		return w.send([]byte(strings.ReplaceAll(string(data), w.request.Header.Get(encoder.HeaderRequestID), "other")))
	}
	w.applyToResponse()
	return nil
}

// applyToResponse applies a fault that ends the response or changes its headers.
// It panics to abort the connection.
func (w *faultWriter) applyToResponse() {
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
	case Leaving:
		w.Header().Set(encoder.HeaderLeaving, "true")
	case Double:
	default:
		if w.fault.Place == AtEvent {
			_ = http.NewResponseController(w.ResponseWriter).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// floodBytes is the size of a flood that is let through.
const floodBytes = 8 << 20

// flood sends comments until the client closes the connection.
func (w *faultWriter) flood() {
	block := []byte(strings.Repeat(": comment\n", 1<<10))
	for sent := 0; sent < floodBytes; sent += len(block) {
		if w.send(block) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// finish sends the response again for Double.
func (w *faultWriter) finish() {
	if w.fault.Kind == Double {
		_ = w.send(w.body)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardWriter) WriteHeader(int) {}
