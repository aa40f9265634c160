package receiver_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// secondAnswer is a wrong answer to the exchange after one that broke off.
type secondAnswer struct {
	Name   string         `json:"name"`
	Answer scriptedAnswer `json:"answer"`
	// Chunks is the number of chunks of the stream that it has.
	Chunks uint64 `json:"chunks"`
	// Final is true if it ends an answer that another engine should continue.
	Final bool `json:"final"`
}

// brokenStream is a stream whose first exchange breaks off after two chunks, and whose
// second one has a wrong answer.
type brokenStream struct {
	secondAnswer

	// framing is that of the first answer.
	framing string
	// continued is true if another engine gives the second answer, else the same one does.
	continued bool
	// rest is true if later exchanges get the rest of the stream.
	rest     bool
	streamed bool
}

func (b brokenStream) name() string {
	return fmt.Sprintf("%s/%s/continued=%t/rest=%t/streamed=%t", b.Name, b.framing, b.continued, b.rest, b.streamed)
}

func brokenStreams(t *testing.T) []brokenStream {
	t.Helper()
	var answers []secondAnswer
	scripter.Read(t, "testdata/second_answers.json", &answers)
	framings := []string{"chunks", "connection"}
	list := make([]brokenStream, 0, len(answers)*len(framings)*8)
	for _, second := range answers {
		for _, framing := range framings {
			for n := range 8 {
				list = append(list, brokenStream{secondAnswer: second, framing: framing, continued: n&1 > 0, rest: n&2 > 0, streamed: n&4 > 0})
			}
		}
	}
	return list
}

// TestWrongAnswerDoesNotEndStream checks that nothing but the rest of a stream and an error
// event follow its begin, and that its response ends as complete only if it is.
func TestWrongAnswerDoesNotEndStream(t *testing.T) {
	t.Parallel()
	for _, b := range brokenStreams(t) {
		t.Run(b.name(), func(t *testing.T) {
			t.Parallel()
			checkBrokenStream(t, b)
		})
	}
}

func checkBrokenStream(t *testing.T, b brokenStream) {
	is := is.New(t)
	s := &script{rest: b.rest, answers: []scriptedAnswer{{Status: http.StatusOK, Framing: b.framing, Chunks: []uint64{1, 2}, Breaks: true}}}
	if b.continued {
		s.answers = append(s.answers, scriptedAnswer{Status: http.StatusNotFound, Framing: "length"})
	}
	s.answers = append(s.answers, b.Answer)
	url, lines := serveScript(t, s)
	request := fmt.Sprintf(`{"model": "tile-match", "prompt": "p", "max_tokens": %d, "stream": %t}`, scriptTokens, b.streamed)
	reply := exchange(t, http.MethodPost, url+"/v1/completions", request)
	is.Equal(strings.Count(lines.String(), "superfluous"), 0)
	complete := b.rest && (!b.Final || !b.continued)
	switch {
	case !b.streamed:
		is.NoErr(reply.err)
		checkDocument(is, reply, complete)
	case complete:
		is.NoErr(reply.err)
		is.Equal(reply.body, wholeEvents(reply, scriptTokens+1)+"data: [DONE]\n\n")
	default:
		is.Equal(reply.status, http.StatusOK)
		is.True(reply.err != nil) // the response does not end as complete
		rest, ok := strings.CutPrefix(reply.body, wholeEvents(reply, 2+b.Chunks)+"event: error\ndata: ")
		is.True(ok)
		checkError(is, strings.TrimSuffix(rest, "\n\n"), classifier.StreamBroken)
	}
}

// checkDocument checks the response to a request that asks for no stream.
func checkDocument(is *is.I, reply callerReply, complete bool) {
	is.Helper()
	if !complete {
		is.Equal(reply.status, http.StatusBadGateway)
		checkError(is, strings.TrimSpace(reply.body), classifier.StreamBroken)
		return
	}
	is.Equal(reply.status, http.StatusOK)
	var c encoder.Chunk
	is.NoErr(json.Unmarshal([]byte(reply.body), &c))
	is.Equal(c.Text(), "t1 t2 t3 t4 ")
}

// wholeEvents returns the first n events of the stream of a response.
func wholeEvents(reply callerReply, n uint64) string {
	var text string
	for number := range n {
		text += chunkEvent(number+1, reply.header.Get(encoder.HeaderRequestID))
	}
	return text
}
