package encoder

import (
	"encoding/json"
	"fmt"
)

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails tells how much of a prompt was cached.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice is the text of one chunk or of a whole answer.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Chunk is one event of a streamed answer, or a whole answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Done is the data of the event that ends every whole stream.
const Done = "[DONE]"

// DecodeChunk reads a chunk from its JSON form and checks it.
func DecodeChunk(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, fmt.Errorf("decode chunk: %w", err)
	}
	return c, c.Check()
}

// Check reports the first fault of the chunk.
func (c Chunk) Check() error {
	if c.ID == "" {
		return fmt.Errorf("chunk: id: got none, takes a request id")
	}
	if len(c.Choices) > 1 {
		return fmt.Errorf("chunk: choices: got %d, takes one at most", len(c.Choices))
	}
	return nil
}

// Text returns the text that the chunk adds to the answer.
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

// Finished returns the finish reason, empty before the end.
func (c Chunk) Finished() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}
