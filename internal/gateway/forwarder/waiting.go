package forwarder

import (
	"context"
	"sync"
)

// waitingSet holds the attempts that their engines have not begun. The zero value is
// empty.
type waitingSet struct {
	mu       sync.Mutex
	attempts map[*withdrawal]struct{}
}

func (s *waitingSet) add(w *withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = make(map[*withdrawal]struct{})
	}
	s.attempts[w] = struct{}{}
}

func (s *waitingSet) remove(w *withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, w)
}

func (s *waitingSet) list() []*withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*withdrawal, 0, len(s.attempts))
	for w := range s.attempts {
		list = append(list, w)
	}
	return list
}

// CheckWaiting signals that the history of desired weights or the configuration has changed,
// so that waiting attempts may have to be withdrawn. It never blocks.
func (f *Forwarder) CheckWaiting() {
	select {
	case f.waitingCheck <- struct{}{}:
	default: // a check is due already
	}
}

// Run checks the waiting attempts after each call of CheckWaiting, until ctx is done. A
// version may count from earlier than when this VM learned of it, so that the time for an
// engine's weights ends before the timers of the attempts.
func (f *Forwarder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.waitingCheck:
			for _, w := range f.waiting.list() {
				w.check()
			}
		}
	}
}
