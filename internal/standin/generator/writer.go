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

// bytesPerToken is the size of a prompt token in the usage counts.
const bytesPerToken = 4

// keepAliveInterval is the longest silence of a live stream.
const keepAliveInterval = 500 * time.Millisecond

// writer sends one answer to one connection.
type writer struct {
	w       http.ResponseWriter
	stream  *stream
	request encoder.Request
	chat    bool
}

// copy sends the tokens from offset on, streamed or as one answer.
func (o writer) copy(ctx context.Context, offset int) {
	if !o.request.Stream {
		o.whole(ctx, offset)
		return
	}
	controller := http.NewResponseController(o.w)
	if controller.Flush() != nil {
		return
	}
	for n := offset; ; n++ {
		token, more, err := o.await(ctx, n)
		if err != nil {
			return
		}
		if !more {
			o.event(n+1, o.last(n))
			_, _ = fmt.Fprintf(o.w, "data: %s\n\n", encoder.Done)
			return
		}
		o.event(n+1, o.chunk(token))
		if controller.Flush() != nil {
			return
		}
	}
}

// await returns token n and keeps the connection alive until it exists.
func (o writer) await(ctx context.Context, n int) (string, bool, error) {
	for {
		waiting, cancel := context.WithTimeout(ctx, keepAliveInterval)
		token, more, err := o.stream.next(waiting, n)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return token, more, err
		}
		if _, err := fmt.Fprint(o.w, ": keep-alive\n\n"); err != nil {
			return "", false, err
		}
		if err := http.NewResponseController(o.w).Flush(); err != nil {
			return "", false, err
		}
	}
}

func (o writer) whole(ctx context.Context, offset int) {
	var text strings.Builder
	for n := offset; ; n++ {
		token, more, err := o.stream.next(ctx, n)
		if err != nil {
			return
		}
		if !more {
			answer := o.last(n)
			o.setText(&answer.Choices[0], text.String(), false)
			writeJSON(o.w, answer)
			return
		}
		text.WriteString(token)
	}
}

func (o writer) event(id int, c encoder.Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", id, data)
}

func (o writer) chunk(text string) encoder.Chunk {
	choice := encoder.Choice{}
	o.setText(&choice, text, true)
	return encoder.Chunk{ID: o.stream.id, Object: o.object(), Model: o.request.Model, Choices: []encoder.Choice{choice}}
}

func (o writer) setText(choice *encoder.Choice, text string, delta bool) {
	switch {
	case o.chat && delta:
		choice.Delta = &encoder.Message{Role: "assistant", Content: text}
	case o.chat:
		choice.Message = &encoder.Message{Role: "assistant", Content: text}
	default:
		choice.Text = text
	}
}

func (o writer) object() string {
	switch {
	case o.chat && o.request.Stream:
		return "chat.completion.chunk"
	case o.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// last returns the chunk that ends an answer of n tokens.
func (o writer) last(n int) encoder.Chunk {
	o.stream.mu.Lock()
	u := *o.stream.usage
	o.stream.mu.Unlock()
	prompt := u.promptBytes / bytesPerToken
	reason := "length"
	c := o.chunk("")
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
