package generator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// bytesPerToken converts bytes of a prompt to tokens in the usage counts.
const bytesPerToken = 4

// keepAliveInterval is the longest time without output on a running stream.
const keepAliveInterval = 500 * time.Millisecond

// responseWriter writes the answer to a request, streamed or as one JSON object.
type responseWriter struct {
	w       http.ResponseWriter
	stream  *stream
	request encoder.Request
	chat    bool
}

// copy writes the tokens of the stream from offset on.
func (rw responseWriter) copy(ctx context.Context, offset int) {
	if !rw.request.Stream {
		rw.writeComplete(ctx, offset)
		return
	}
	controller := http.NewResponseController(rw.w)
	if controller.Flush() != nil {
		return
	}
	for n := offset; ; n++ {
		token, more, err := rw.nextToken(ctx, n)
		if err != nil {
			return
		}
		if !more {
			rw.writeEvent(n+1, rw.newFinalChunk(n))
			_, _ = fmt.Fprintf(rw.w, "data: %s\n\n", encoder.Done)
			return
		}
		rw.writeEvent(n+1, rw.newChunk(token))
		if controller.Flush() != nil {
			return
		}
	}
}

// nextToken waits for token n and returns it. It sends keep-alive comments while
// it waits.
func (rw responseWriter) nextToken(ctx context.Context, n int) (string, bool, error) {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
		token, more, err := rw.stream.waitForToken(waitCtx, n)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return token, more, err
		}
		if _, err := fmt.Fprint(rw.w, ": keep-alive\n\n"); err != nil {
			return "", false, err
		}
		if err := http.NewResponseController(rw.w).Flush(); err != nil {
			return "", false, err
		}
	}
}

func (rw responseWriter) writeComplete(ctx context.Context, offset int) {
	var text strings.Builder
	for n := offset; ; n++ {
		token, more, err := rw.stream.waitForToken(ctx, n)
		if err != nil {
			return
		}
		if !more {
			answer := rw.newFinalChunk(n)
			rw.setText(&answer.Choices[0], text.String(), false)
			writeJSON(rw.w, answer)
			return
		}
		text.WriteString(token)
	}
}

func (rw responseWriter) writeEvent(id int, c encoder.Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(rw.w, "id: %d\ndata: %s\n\n", id, data)
}

func (rw responseWriter) newChunk(text string) encoder.Chunk {
	choice := encoder.Choice{}
	rw.setText(&choice, text, true)
	return encoder.Chunk{ID: rw.stream.id, Object: rw.object(), Model: rw.request.Model, Choices: []encoder.Choice{choice}}
}

func (rw responseWriter) setText(choice *encoder.Choice, text string, delta bool) {
	switch {
	case rw.chat && delta:
		choice.Delta = &encoder.Message{Role: "assistant", Content: text}
	case rw.chat:
		choice.Message = &encoder.Message{Role: "assistant", Content: text}
	default:
		choice.Text = text
	}
}

func (rw responseWriter) object() string {
	switch {
	case rw.chat && rw.request.Stream:
		return "chat.completion.chunk"
	case rw.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// newFinalChunk returns the chunk that ends an answer of n tokens, with the
// finish reason and the usage.
func (rw responseWriter) newFinalChunk(n int) encoder.Chunk {
	rw.stream.mu.Lock()
	u := *rw.stream.usage
	rw.stream.mu.Unlock()
	prompt := u.promptBytes / bytesPerToken
	reason := "length"
	c := rw.newChunk("")
	c.Choices[0].FinishReason = &reason
	c.Usage = &encoder.Usage{
		PromptTokens:     prompt,
		CompletionTokens: n,
		TotalTokens:      prompt + n,
		PromptTokensDetails: encoder.PromptTokensDetails{
			CachedTokens: u.cachedBlocks * hasher.BlockBytes / bytesPerToken,
		},
	}
	return c
}
