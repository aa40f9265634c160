package distributor

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// outgoingLimit bounds the messages that wait for one connection.
	outgoingLimit = 256
	headInterval  = time.Second
	// silenceTimeout ends a connection on which nothing arrives any more.
	silenceTimeout = 5 * time.Second
)

// Link is one accepted connection.
type Link struct {
	// Peer is the other end.
	Peer messenger.Hello

	distributor *Distributor
	conn        *messenger.Conn
	out         chan messenger.Message
	// head is the version last heard of; the Distributor's mutex guards it.
	head messenger.BundleHead
}

// Send queues m and reports whether it was queued. Where the other end is too
// slow the message is dropped; every message is repeated in a later state.
func (l *Link) Send(m messenger.Message) bool {
	select {
	case l.out <- m:
		return true
	default:
		return false
	}
}

// run writes the queued messages and repeats the bundle version in force.
func (l *Link) run(ctx context.Context) {
	ticker := time.NewTicker(headInterval)
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
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return l.conn.Read(ctx)
}
