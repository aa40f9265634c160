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

// Config holds what a Distributor is built from.
type Config struct {
	Hello  messenger.Hello
	Holder *holder.Holder
	// OnMessage takes every message that is not about the bundle. It must not
	// block.
	OnMessage func(l *Link, m messenger.Message)
	Log       *logrus.Entry
}

// Distributor spreads the bundle in force and engine reports to its connections.
type Distributor struct {
	hello     messenger.Hello
	holder    *holder.Holder
	onMessage func(l *Link, m messenger.Message)
	log       *logrus.Entry

	mu    sync.Mutex
	links map[*Link]struct{}
}

// New returns a Distributor without connections.
func New(cfg Config) *Distributor {
	if cfg.OnMessage == nil {
		cfg.OnMessage = func(*Link, messenger.Message) {}
	}
	return &Distributor{
		hello:     cfg.Hello,
		holder:    cfg.Holder,
		onMessage: cfg.OnMessage,
		log:       cfg.Log,
		links:     make(map[*Link]struct{}),
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
	go l.run(ctx)
	if err := d.serve(ctx, l); err != nil {
		d.log.WithError(err).WithField("peer", l.Peer.Node).Debug("peer connection ended")
	}
}

// greet exchanges the first messages and sends the bundle in force if the
// other end lacks it.
func (d *Distributor) greet(ctx context.Context, conn *messenger.Conn) (*Link, error) {
	l := &Link{distributor: d, conn: conn, out: make(chan messenger.Message, outgoingLimit)}
	first, err := l.read(ctx)
	if err != nil {
		return nil, err
	}
	if first.Hello == nil || first.Hello.Deployment != d.hello.Deployment {
		return nil, classifier.New(classifier.PeerRefused, "takes a hello of deployment %s first", d.hello.Deployment)
	}
	l.Peer = *first.Hello
	hello := d.hello
	hello.BundleVersion = d.holder.Version()
	if err := conn.Write(ctx, messenger.Message{Hello: &hello}); err != nil {
		return nil, err
	}
	if l.Peer.Role != messenger.Operator && l.Peer.BundleVersion < d.holder.Version() {
		l.Send(d.offer())
	}
	return l, nil
}

func (d *Distributor) offer() messenger.Message {
	return messenger.Message{BundleOffer: &messenger.BundleOffer{Envelope: d.holder.Current().Envelope}}
}

func (d *Distributor) add(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.head = messenger.BundleHead{Version: l.Peer.BundleVersion}
	d.links[l] = struct{}{}
}

func (d *Distributor) remove(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.links, l)
}

func (d *Distributor) serve(ctx context.Context, l *Link) error {
	for {
		m, err := l.read(ctx)
		if err != nil {
			return err
		}
		d.handle(l, m)
	}
}

func (d *Distributor) handle(l *Link, m messenger.Message) {
	switch {
	case m.StatusWant != nil:
		l.Send(messenger.Message{Status: d.status()})
	case m.BundleHead != nil:
		d.note(l, *m.BundleHead)
		d.compare(l, m.BundleHead.Version)
	case m.BundleWant != nil && d.holder.Version() > 0:
		l.Send(d.offer())
	case m.BundleWant != nil:
	case m.BundleOffer != nil:
		d.accept(m.BundleOffer)
	default:
		d.onMessage(l, m)
	}
}

// compare brings the end with the lower version up to date.
func (d *Distributor) compare(l *Link, version uint64) {
	mine := d.holder.Version()
	if version < mine {
		l.Send(d.offer())
	}
	if version > mine {
		l.Send(messenger.Message{BundleWant: &messenger.BundleWant{}})
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
		if l.Peer.Role == messenger.Router {
			l.Send(m)
		}
	}
}

// SendRouter sends m to the connected router of that node and reports whether
// it was queued.
func (d *Distributor) SendRouter(node string, m messenger.Message) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.links {
		if l.Peer.Role == messenger.Router && l.Peer.Node == node {
			return l.Send(m)
		}
	}
	return false
}

// Run spreads each bundle that comes into force until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	for {
		changed := d.holder.Changed()
		if d.holder.Current() != nil {
			d.spread()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// spread sends the bundle to routers and only its version to controllers,
// which ask for it once where they lack it.
func (d *Distributor) spread() {
	offer := d.offer()
	head := messenger.Message{BundleHead: &messenger.BundleHead{Version: d.holder.Version()}}
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.links {
		if l.Peer.Role == messenger.Router {
			l.Send(offer)
			continue
		}
		l.Send(head)
	}
}
