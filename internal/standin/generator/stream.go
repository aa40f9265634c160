package generator

import (
	"context"
	"errors"
	"sync"
)

// stream is one answer in the making. It outlives the connection that asked
// for it, so that the answer can be resumed.
type stream struct {
	id      string
	attempt string
	// first is the number of tokens that existed before this stream began.
	first int

	mu       sync.Mutex
	stopped  bool
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

func newStream(id, attempt string, first int, cancel context.CancelFunc) *stream {
	return &stream{id: id, attempt: attempt, first: first, grown: make(chan struct{}), cancel: cancel}
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

// stop ends the work on the answer and reports whether there was any left.
func (s *stream) stop() bool {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.stopped {
		return false
	}
	s.stopped = true
	s.wake()
	return true
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// errStopped reports an answer that was cancelled or does not reach back.
var errStopped = errors.New("stream has stopped")

// next returns token n once it exists. The second result is false where the
// answer ends before n.
func (s *stream) next(ctx context.Context, n int) (string, bool, error) {
	for {
		s.mu.Lock()
		tokens, finished, stopped, grown := s.tokens, s.finished, s.stopped, s.grown
		s.mu.Unlock()
		if n < s.first {
			return "", false, errStopped
		}
		if n < s.first+len(tokens) {
			return tokens[n-s.first], true, nil
		}
		if finished {
			return "", false, nil
		}
		if stopped {
			return "", false, errStopped
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return "", false, ctx.Err()
		}
	}
}
