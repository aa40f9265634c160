package encoder_test

import (
	"encoding/json"
	"testing"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// FuzzDecodeRequest checks that a body is either rejected as InvalidRequest or
// decoded to a valid request that encodes and decodes to the same text.
func FuzzDecodeRequest(f *testing.F) {
	for _, seed := range []string{
		"", "{}", "null", `{"model": "m"}`, `{"model": "m", "prompt": "p"}`, `{"model": "m", "prompt": "p", "max_tokens": -1}`,
		`{"model": "m", "messages": [{"role": "user", "content": "c"}]}`, `{"model": "m", "prompt": "p", "priority": "none"}`,
		`{"model": "m", "prompt": "p", "continue_tokens": 300}`, `{"model": "m", "prompt": "p", "max_tokens": 1e99}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := encoder.DecodeRequest(body)
		if err != nil {
			if !classifier.IsKind(err, classifier.InvalidRequest) {
				t.Fatalf("got error %v, want the kind invalid_request", err)
			}
			return
		}
		if r.MaxTokens < 1 || r.Model == "" || (r.Prompt == "") == (len(r.Messages) == 0) {
			t.Fatalf("accepted invalid request %+v", r)
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := encoder.DecodeRequest(encoded)
		if err != nil || decoded.Text() != r.Text() {
			t.Fatalf("decoding the encoded request gave another text, or error %v", err)
		}
	})
}

// FuzzDecodeChunk checks that data is either rejected or decoded to a valid chunk
// whose methods do not panic.
func FuzzDecodeChunk(f *testing.F) {
	for _, seed := range []string{
		"", "{}", `{"id": "r"}`, `{"id": "r", "choices": []}`, `{"id": "r", "choices": [{"text": "t"}]}`,
		`{"id": "r", "choices": [{"delta": {"content": "t"}, "finish_reason": "length"}]}`,
		`{"id": "r", "choices": [{"message": null}], "usage": {"total_tokens": -1}}`, `{"id": "r", "choices": [{}, {}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := encoder.DecodeChunk(data)
		if err != nil {
			return
		}
		if c.ID == "" || len(c.Choices) > 1 {
			t.Fatalf("accepted invalid chunk %+v", c)
		}
		_ = c.Text()
		_ = c.FinishReason()
	})
}
