package generator

import (
	"context"
	"sync"
)

// slots bounds the requests that run side by side. Interactive requests leave
// the queue before batch requests, each kind in the order of arrival.
type slots struct {
	mu          sync.Mutex
	free        int
	running     int
	interactive []chan struct{}
	batch       []chan struct{}
}

func newSlots(n int) *slots {
	return &slots{free: n}
}

// enter waits for a slot.
func (s *slots) enter(ctx context.Context, interactive bool) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	queue := s.queue(interactive)
	*queue = append(*queue, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		s.abandon(queue, turn)
		return ctx.Err()
	}
}

func (s *slots) queue(interactive bool) *[]chan struct{} {
	if interactive {
		return &s.interactive
	}
	return &s.batch
}

// abandon takes turn out of its queue, or gives back a slot that came late.
func (s *slots) abandon(queue *[]chan struct{}, turn chan struct{}) {
	s.mu.Lock()
	for i, waiting := range *queue {
		if waiting == turn {
			*queue = append((*queue)[:i], (*queue)[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.leave()
}

// leave frees a slot or hands it to the next in the queue.
func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&s.interactive, &s.batch} {
		if len(*queue) == 0 {
			continue
		}
		turn := (*queue)[0]
		*queue = (*queue)[1:]
		close(turn)
		return
	}
	s.free++
	s.running--
}

// counts returns the running and the waiting requests.
func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.interactive) + len(s.batch)
}
