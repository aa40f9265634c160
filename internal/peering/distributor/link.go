package distributor

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// sendQueueSize bounds the queued messages of one connection.
	sendQueueSize = 256
	// bundleHeadInterval is the interval at which the bundle version in force is sent.
	bundleHeadInterval = time.Second
	// readTimeout closes a connection on which no message is received.
	readTimeout = 5 * time.Second
)

// Link is one accepted connection.
type Link struct {
	// Peer is the hello that the peer has sent.
	Peer messenger.Hello

	distributor *Distributor
	conn        *messenger.Conn
	out         chan messenger.Message
	// head is the bundle version that the peer reported last; the Distributor's mutex
	// guards it.
	head messenger.BundleHead
}

// Send queues m and reports whether it was queued. It is dropped if the queue is full
// because the peer reads too slowly; a later message then carries the newer state.
func (l *Link) Send(m messenger.Message) bool {
	select {
	case l.out <- m:
		return true
	default:
		return false
	}
}

// run sends the queued messages, and the bundle version in force periodically.
func (l *Link) run(ctx context.Context) {
	ticker := time.NewTicker(bundleHeadInterval)
	defer ticker.Stop()
	for {
		m, ok := l.next(ctx, ticker.C)
		if !ok {
			return
		}
		if l.conn.Write(ctx, m) != nil {
			l.conn.Close()
			return
		}
	}
}

// next returns the next message to send. The last result is false when ctx is done.
func (l *Link) next(ctx context.Context, tick <-chan time.Time) (messenger.Message, bool) {
	select {
	case m := <-l.out:
		return m, true
	case <-tick:
		head := messenger.BundleHead{Version: l.distributor.holder.Version()}
		return messenger.Message{BundleHead: &head}, true
	case <-ctx.Done():
		return messenger.Message{}, false
	}
}

func (l *Link) read(ctx context.Context) (messenger.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return l.conn.Read(ctx)
}
