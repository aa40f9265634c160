// Package distributor serves the connections that routers and other
// controllers open to a controller.
package distributor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// outgoingLimit bounds the messages that wait for one connection.
const outgoingLimit = 64

// Config holds what a Distributor is built from.
type Config struct {
	Hello  messenger.Hello
	Holder *holder.Holder
	Log    *logrus.Entry
}

// Distributor spreads the bundle in force and engine reports to its connections.
type Distributor struct {
	hello  messenger.Hello
	holder *holder.Holder
	log    *logrus.Entry

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one accepted connection.
type link struct {
	conn  *messenger.Conn
	hello messenger.Hello
	out   chan messenger.Message
}

// New returns a Distributor without connections.
func New(cfg Config) *Distributor {
	return &Distributor{
		hello:  cfg.Hello,
		holder: cfg.Holder,
		log:    cfg.Log,
		links:  make(map[*link]struct{}),
	}
}

// ServeHTTP takes over one connection until it ends.
func (d *Distributor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := messenger.Accept(w, r)
	if err != nil {
		d.log.WithError(err).Warn("peer connection refused")
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	l, err := d.greet(ctx, conn)
	if err != nil {
		d.log.WithError(err).Warn("peer greeting failed")
		return
	}
	d.add(l)
	defer d.remove(l)
	go d.runWriter(ctx, l)
	if err := d.read(ctx, l); err != nil {
		d.log.WithError(err).WithField("peer", l.hello.Node).Debug("peer connection ended")
	}
}

// greet exchanges the first messages and sends the bundle in force if the
// other end lacks it.
func (d *Distributor) greet(ctx context.Context, conn *messenger.Conn) (*link, error) {
	first, err := conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	if first.Hello == nil || first.Hello.Deployment != d.hello.Deployment {
		return nil, classifier.New(classifier.PeerRefused, "takes a hello of deployment %s first", d.hello.Deployment)
	}
	hello := d.hello
	hello.BundleVersion = d.holder.Version()
	if err := conn.Write(ctx, messenger.Message{Hello: &hello}); err != nil {
		return nil, err
	}
	l := &link{conn: conn, hello: *first.Hello, out: make(chan messenger.Message, outgoingLimit)}
	if first.Hello.BundleVersion < d.holder.Version() {
		l.send(d.offer())
	}
	return l, nil
}

func (d *Distributor) offer() messenger.Message {
	return messenger.Message{BundleOffer: &messenger.BundleOffer{Envelope: d.holder.Current().Envelope}}
}

func (d *Distributor) add(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[l] = struct{}{}
}

func (d *Distributor) remove(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.links, l)
}

// send queues m and drops it where the other end is too slow; every message
// is repeated in a later state.
func (l *link) send(m messenger.Message) {
	select {
	case l.out <- m:
	default:
	}
}

func (d *Distributor) runWriter(ctx context.Context, l *link) {
	for {
		select {
		case m := <-l.out:
			if err := l.conn.Write(ctx, m); err != nil {
				l.conn.Close()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (d *Distributor) read(ctx context.Context, l *link) error {
	for {
		m, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		d.handle(l, m)
	}
}

func (d *Distributor) handle(l *link, m messenger.Message) {
	switch {
	case m.BundleHead != nil && m.BundleHead.Version < d.holder.Version():
		l.send(d.offer())
	case m.BundleHead != nil && m.BundleHead.Version > d.holder.Version():
		l.send(messenger.Message{BundleWant: &messenger.BundleWant{}})
	case m.BundleWant != nil && d.holder.Version() > 0:
		l.send(d.offer())
	case m.BundleOffer != nil:
		d.accept(m.BundleOffer)
	}
}

func (d *Distributor) accept(offer *messenger.BundleOffer) {
	err := d.holder.Offer(time.Now(), offer.Envelope)
	if err != nil && !classifier.IsKind(err, classifier.BundleStale) {
		d.log.WithError(err).WithField("kind", classifier.KindOf(err)).Warn("bundle refused")
	}
}

// Broadcast sends m to every connected router.
func (d *Distributor) Broadcast(m messenger.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.links {
		if l.hello.Role == messenger.Router {
			l.send(m)
		}
	}
}

// Run spreads each bundle that comes into force until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	for {
		changed := d.holder.Changed()
		if current := d.holder.Current(); current != nil {
			d.spread()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Distributor) spread() {
	m := d.offer()
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.links {
		l.send(m)
	}
}
