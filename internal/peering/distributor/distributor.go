// Package distributor serves the connections of routers, other controllers and
// operators to a controller.
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

// Config configures a Distributor.
type Config struct {
	// Hello is sent on each connection; its BundleVersion is filled in.
	Hello  messenger.Hello
	Holder *holder.Holder
	// OnMessage is called with each message that is about neither the bundle nor the
	// status. It must not block.
	OnMessage func(l *Link, m messenger.Message)
	Log       *logrus.Entry
}

// Distributor sends the bundle in force and other messages to its connections.
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

// ServeHTTP serves one connection until it ends.
func (d *Distributor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := messenger.Accept(w, r)
	if err != nil {
		d.log.WithError(err).Warn("failed to accept connection from peer")
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	l, err := d.handshake(ctx, conn)
	if err != nil {
		d.log.WithError(err).Warn("handshake with peer failed")
		return
	}
	d.addLink(l)
	defer d.removeLink(l)
	go l.run(ctx)
	if err := d.readMessages(ctx, l); err != nil {
		d.log.WithError(err).WithField("peer", l.Peer.Node).Debug("peer connection ended")
	}
}

// handshake exchanges hellos.
func (d *Distributor) handshake(ctx context.Context, conn *messenger.Conn) (*Link, error) {
	l := &Link{distributor: d, conn: conn, out: make(chan messenger.Message, sendQueueSize)}
	first, err := l.read(ctx)
	if err != nil {
		return nil, err
	}
	if first.Hello == nil || first.Hello.Deployment != d.hello.Deployment {
		return nil, classifier.New(classifier.PeerRefused, "handshake: want a hello of deployment %q first", d.hello.Deployment)
	}
	l.Peer = *first.Hello
	hello := d.hello
	hello.BundleVersion = d.holder.Version()
	if err := conn.Write(ctx, messenger.Message{Hello: &hello}); err != nil {
		return nil, err
	}
	return l, nil
}

// bundleOffer returns a message with the bundle in force; there must be one.
func (d *Distributor) bundleOffer() messenger.Message {
	return messenger.Message{BundleOffer: &messenger.BundleOffer{Envelope: d.holder.Current().Envelope}}
}

// addLink adds a connection to those that bundles are announced to, and then queues the
// bundle in force if the peer has an older version or none.
func (d *Distributor) addLink(l *Link) {
	d.mu.Lock()
	l.head = messenger.BundleHead{Version: l.Peer.BundleVersion}
	d.links[l] = struct{}{}
	d.mu.Unlock()
	if l.Peer.Role != messenger.Operator && l.Peer.BundleVersion < d.holder.Version() {
		l.Send(d.bundleOffer())
	}
}

func (d *Distributor) removeLink(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.links, l)
}

// readMessages handles messages until reading fails or times out.
func (d *Distributor) readMessages(ctx context.Context, l *Link) error {
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
	case m.StatusRequest != nil:
		l.Send(messenger.Message{Status: d.status()})
	case m.BundleHead != nil:
		d.recordHead(l, *m.BundleHead)
		d.syncBundle(l, m.BundleHead.Version)
	case m.BundleRequest != nil && d.holder.Version() > 0:
		l.Send(d.bundleOffer())
	case m.BundleRequest != nil:
	case m.BundleOffer != nil:
		d.offerBundle(m.BundleOffer)
	default:
		d.onMessage(l, m)
	}
}

// syncBundle compares the peer's bundle version with the own one. It sends the bundle
// to the peer, or requests it, whichever has the lower version.
func (d *Distributor) syncBundle(l *Link, version uint64) {
	own := d.holder.Version()
	if version < own {
		l.Send(d.bundleOffer())
	}
	if version > own {
		l.Send(messenger.Message{BundleRequest: &messenger.BundleRequest{}})
	}
}

// offerBundle offers a received bundle to the Holder. A stale one is normal, since a
// bundle may be offered more than once, and is not logged.
func (d *Distributor) offerBundle(offer *messenger.BundleOffer) {
	err := d.holder.Offer(time.Now(), offer.Envelope)
	if err != nil && !classifier.IsKind(err, classifier.BundleStale) {
		d.log.WithError(err).WithField("kind", classifier.KindOf(err)).Warn("bundle from peer rejected")
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

// SendToRouter queues m for the router of a node. It reports false if the router is not
// connected or its send queue is full.
func (d *Distributor) SendToRouter(node string, m messenger.Message) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.links {
		if l.Peer.Role == messenger.Router && l.Peer.Node == node {
			return l.Send(m)
		}
	}
	return false
}

// Run announces each bundle that comes into force, until ctx is done.
func (d *Distributor) Run(ctx context.Context) {
	for {
		changed := d.holder.Changed()
		if d.holder.Current() != nil {
			d.announceBundle()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// announceBundle sends the bundle to routers, and only its version to the other peers.
// Controllers whose version is lower then request the bundle once, rather than receive
// it from every controller.
func (d *Distributor) announceBundle() {
	offer := d.bundleOffer()
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
