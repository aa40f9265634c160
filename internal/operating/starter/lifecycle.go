package starter

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// operatorsTimeout bounds the end of requests of operators at a stop.
const operatorsTimeout = 2 * time.Second

// lifecycle runs the servers and loops of a process and stops them in order.
type lifecycle struct {
	gate *gate
	// front takes the work of others; operators outlives it.
	front     *server
	operators *server
	loops     []func(context.Context)
	// leave, where set, announces the stop to others.
	leave func()
	// delay is how long a stopping process goes on accepting.
	delay time.Duration
	// timeout bounds the wait for open requests after that.
	timeout time.Duration
	log     *logrus.Entry
}

// run returns once ctx has ended and all work is done, or a server fails.
func (l *lifecycle) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	group.Go(l.front.run)
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
			l.front.close()
			l.operators.close()
			return nil
		}
	})
	return group.Wait()
}

// stop fails readiness, goes on accepting until the balancer has let go, then
// finishes open requests. The loops go on meanwhile.
func (l *lifecycle) stop(ctx context.Context) error {
	l.gate.stopping.Store(true)
	if l.leave != nil {
		l.leave()
	}
	l.log.WithField("drain_delay", l.delay.String()).Info("stopping")
	wait := time.NewTimer(l.delay)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	err := l.front.shutdown(l.timeout)
	if operatorsErr := l.operators.shutdown(operatorsTimeout); operatorsErr != nil {
		l.log.WithError(operatorsErr).Debug("operators cut off")
	}
	if err != nil {
		return fmt.Errorf("stop: open requests were cut: %w", err)
	}
	l.log.Info("stopped")
	return nil
}
