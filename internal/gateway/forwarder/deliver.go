package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// wholeAnswerBytes is the largest answer that is read whole before the client
// gets any of it. Longer ones are passed on as they come.
const wholeAnswerBytes = 1 << 20

// deliver hands over an answer that is no stream.
func (x *exchange) deliver(answer *caller.Answer) error {
	body, err := io.ReadAll(io.LimitReader(answer, wholeAnswerBytes))
	if err != nil {
		answer.Discard()
		return err
	}
	if len(body) == wholeAnswerBytes {
		return x.pass(answer, body)
	}
	// Bytes after the answer belong to no request; their connection is dropped.
	trailing := answer.Finish()
	x.head(answer)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(answer.Status)
	_, err = x.w.Write(body)
	x.finish(answer.Status, outcomeAnswered, errors.Join(trailing, err))
	return nil
}

// head starts the answer to the client.
func (x *exchange) head(answer *caller.Answer) {
	x.cfg.Dialect.Forward(x.w.Header(), answer.Header)
	x.committed = true
}

// pass hands over a long answer as it comes.
func (x *exchange) pass(answer *caller.Answer, begun []byte) error {
	x.head(answer)
	x.w.WriteHeader(answer.Status)
	_, err := x.w.Write(begun)
	if err == nil {
		_, err = io.Copy(x.w, answer)
	}
	if err != nil {
		answer.Discard()
		x.finish(answer.Status, string(classifier.StreamBroken), err)
		panic(http.ErrAbortHandler)
	}
	err = answer.Finish()
	x.finish(answer.Status, outcomeAnswered, err)
	return nil
}
