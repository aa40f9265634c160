package starter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// operatorShutdownTimeout limits how long a shutdown waits for open requests of
// operators.
const operatorShutdownTimeout = 2 * time.Second

// lifecycle runs the servers and background loops of a process and shuts them
// down in order.
type lifecycle struct {
	drain *drainState
	// primary is the server for callers or peers. It is shut down before
	// operators, so that operators can observe the drain.
	primary   *server
	operators *server
	loops     []func(context.Context)
	// announceLeave announces the shutdown to other processes. It may be nil.
	announceLeave func()
	// drainDelay is how long a stopping process continues to accept requests.
	drainDelay time.Duration
	// drainTimeout limits the wait for open requests after drainDelay.
	drainTimeout time.Duration
	log          *logrus.Entry
}

// run returns when ctx is cancelled and the process has shut down, or when a
// server fails.
func (l *lifecycle) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	group.Go(l.primary.run)
	group.Go(l.operators.run)
	for _, loop := range l.loops {
		group.Go(func() error {
			loop(work)
			return nil
		})
	}
	group.Go(func() error {
		defer stopWork()
		select {
		case <-ctx.Done():
			return l.stop(work)
		case <-work.Done():
			l.primary.close()
			l.operators.close()
			return nil
		}
	})
	return group.Wait()
}

// stop fails the readiness check, accepts requests for drainDelay until the
// balancer has noticed, then waits for open requests. The loops keep running
// until it returns.
func (l *lifecycle) stop(ctx context.Context) error {
	l.drain.stopping.Store(true)
	if l.announceLeave != nil {
		l.announceLeave()
	}
	l.log.WithField("drain_delay", l.drainDelay.String()).Info("stopping")
	wait := time.NewTimer(l.drainDelay)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	release := l.drain.endAfter(l.drainTimeout)
	defer release()
	err := l.primary.shutdown(l.drainTimeout)
	if n := l.drain.cut.Load(); n > 0 {
		err = errors.Join(err, fmt.Errorf("end %d requests: %w", n, errRequestsCut))
	}
	if operatorsErr := l.operators.shutdown(operatorShutdownTimeout); operatorsErr != nil {
		l.log.WithError(operatorsErr).Debug("closing open requests of operators: shutdown timeout passed")
	}
	if err != nil {
		return fmt.Errorf("shut down server: open requests were cut: %w", err)
	}
	l.log.Info("stopped")
	return nil
}
