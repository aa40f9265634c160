package generator

import (
	"context"
	"sync"
)

// slots limits the number of concurrent requests. Interactive requests are
// dequeued before batch requests, and each kind in the order of arrival.
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

// acquire waits for a slot or the end of ctx.
func (s *slots) acquire(ctx context.Context, interactive bool) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	queue := s.queue(interactive)
	*queue = append(*queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(queue, granted)
		return ctx.Err()
	}
}

func (s *slots) queue(interactive bool) *[]chan struct{} {
	if interactive {
		return &s.interactive
	}
	return &s.batch
}

// cancelWait removes granted from its queue. If the slot was granted in the
// meantime, it releases the slot.
func (s *slots) cancelWait(queue *[]chan struct{}, granted chan struct{}) {
	s.mu.Lock()
	for i, waiting := range *queue {
		if waiting == granted {
			*queue = append((*queue)[:i], (*queue)[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

// release passes a slot on to the next request in the queue, or frees it if
// none is waiting.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&s.interactive, &s.batch} {
		if len(*queue) == 0 {
			continue
		}
		granted := (*queue)[0]
		*queue = (*queue)[1:]
		close(granted)
		return
	}
	s.free++
	s.running--
}

// counts returns the number of running and of queued requests.
func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.interactive) + len(s.batch)
}
