package encoder

import (
	"encoding/json"
	"fmt"
)

// Usage is the number of tokens that a request has used.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails breaks down the tokens of a prompt.
type PromptTokensDetails struct {
	// CachedTokens is the number of tokens served from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Choice is the generated text of a chunk or of a complete answer. Text is set
// for text completions, Delta for the chunks of a chat completion, and Message for
// a complete chat completion.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Chunk is the data of one event of a streamed answer, or a complete answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Done is the data of the event that ends a stream whose answer is complete.
const Done = "[DONE]"

// DecodeChunk decodes a chunk from JSON and validates it.
func DecodeChunk(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, fmt.Errorf("decode completion chunk: %w", err)
	}
	return c, c.Check()
}

// Check returns an error that describes the first invalid field of the chunk.
func (c Chunk) Check() error {
	if c.ID == "" {
		return fmt.Errorf("chunk id is missing, want the request ID")
	}
	if len(c.Choices) > 1 {
		return fmt.Errorf("chunk has %d choices, want at most 1", len(c.Choices))
	}
	return nil
}

// Text returns the text that the chunk appends to the answer.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	switch {
	case choice.Delta != nil:
		return choice.Delta.Content
	case choice.Message != nil:
		return choice.Message.Content
	}
	return choice.Text
}

// FinishReason returns the finish reason, or an empty string if the chunk is not
// the last one.
func (c Chunk) FinishReason() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}
