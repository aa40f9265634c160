package generator

import (
	"context"
	"sync"
)

// stream is one answer in the making. It outlives the connection that asked
// for it, so that the answer can be resumed.
type stream struct {
	id      string
	attempt string

	mu       sync.Mutex
	tokens   []string
	usage    *usage
	finished bool
	grown    chan struct{}
	cancel   context.CancelFunc
}

// usage counts the blocks of a stream's prompt.
type usage struct {
	promptBytes  int
	cachedBlocks int
}

func newStream(id, attempt string, cancel context.CancelFunc) *stream {
	return &stream{id: id, attempt: attempt, grown: make(chan struct{}), cancel: cancel}
}

// add appends a token.
func (s *stream) add(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	s.wake()
}

// finish marks the answer as whole.
func (s *stream) finish(u usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = &u
	s.finished = true
	s.wake()
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// next returns token n once it exists. The last result is false where the
// answer ends before n.
func (s *stream) next(ctx context.Context, n int) (string, bool, error) {
	for {
		s.mu.Lock()
		tokens, finished, grown := s.tokens, s.finished, s.grown
		s.mu.Unlock()
		if n < len(tokens) {
			return tokens[n], true, nil
		}
		if finished {
			return "", false, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return "", false, ctx.Err()
		}
	}
}
