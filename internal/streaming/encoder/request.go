// Package encoder defines the JSON bodies, headers and paths of the completion API
// that callers, routers and engines use.
package encoder

import (
	"encoding/json"
	"strings"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a completion or chat completion request.
type Request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Priority is "interactive" or "batch"; empty means the priority of the
	// organisation.
	Priority string `json:"priority,omitempty"`
	// ContinueTokens is the number of tokens of the answer that were generated
	// already, and ContinueText is their text. Routers set both so that an engine
	// continues an answer that another engine began; callers omit them.
	ContinueTokens int    `json:"continue_tokens,omitempty"`
	ContinueText   string `json:"continue_text,omitempty"`
}

// DefaultMaxTokens is the limit of requests that do not set MaxTokens.
const DefaultMaxTokens = 256

// DecodeRequest decodes a request from JSON, sets its defaults and validates it.
// Its errors have the kind InvalidRequest.
func DecodeRequest(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return Request{}, classifier.Wrap(classifier.InvalidRequest, err, "the body is not a completion request in JSON")
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = DefaultMaxTokens
	}
	return r, r.Check()
}

// Check returns an InvalidRequest error for the first invalid field of the
// request.
func (r Request) Check() error {
	switch {
	case r.Model == "":
		return classifier.New(classifier.InvalidRequest, "model: got none, takes the name of a model")
	case r.Prompt == "" && len(r.Messages) == 0:
		return classifier.New(classifier.InvalidRequest, "prompt: got none, takes a prompt or messages")
	case r.Prompt != "" && len(r.Messages) > 0:
		return classifier.New(classifier.InvalidRequest, "prompt: takes either a prompt or messages, got both")
	case r.MaxTokens < 0:
		return classifier.New(classifier.InvalidRequest, "max_tokens: got %d, takes 1 or more", r.MaxTokens)
	case r.ContinueTokens < 0 || r.ContinueTokens > r.MaxTokens:
		return classifier.New(classifier.InvalidRequest, "continue_tokens: got %d, takes 0 to max_tokens", r.ContinueTokens)
	case r.Priority != "" && r.Priority != "interactive" && r.Priority != "batch":
		return classifier.New(classifier.InvalidRequest, "priority: got %q, takes interactive or batch", r.Priority)
	}
	return nil
}

// Text returns the text of the prompt or chat from which the keys of the prefix
// cache are computed. Zero bytes delimit the roles and contents of messages.
func (r Request) Text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteByte(0)
		text.WriteString(m.Content)
		text.WriteByte(0)
	}
	return text.String()
}
