package relayer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// connectTimeout bounds dialling a relay.
	connectTimeout = time.Second
	// reconnectDelay is the minimum delay, without jitter, before the next relay is
	// dialled.
	reconnectDelay = 150 * time.Millisecond
	// pollInterval is how often a VM without a relay looks for one.
	pollInterval = 500 * time.Millisecond
	// maxOutdated is how long a relay may send no confirmed replicas before another
	// one is dialled.
	maxOutdated = 2 * time.Second
)

// errBehind reports that a relay sent changes which this VM cannot apply, and that a new
// subscription brings it up to date.
var errBehind = errors.New("entries of this VM differ from those that its relay had")

// Sink takes the updates of a relay.
type Sink interface {
	// ApplyUpdate applies an update and reports whether it brings the sink up to date.
	ApplyUpdate(now time.Time, u informer.Update) bool
	// RecordWeightsAges records the ages of desired versions that come with updates.
	RecordWeightsAges(now time.Time, ages []informer.WeightsAge)
	// Versions returns the version of each replica.
	Versions() informer.Versions
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Node string
	// Relays returns the VMs to subscribe to, in order of preference, or none if this
	// VM follows the store itself.
	Relays func() []netip.AddrPort
	// MaxAge returns for how long a replica of a prefix may be used since the store
	// last confirmed it.
	MaxAge func(prefix string) time.Duration
	Sink   Sink
	Client *http.Client
	Log    *logrus.Entry
}

// Client keeps the replicas of this VM up to date through another VM.
type Client struct {
	cfg ClientConfig

	mu sync.Mutex
	// suppliedUntil is the time until which the replica of each prefix is recent
	// enough.
	suppliedUntil map[string]time.Time
}

// NewClient returns a Client; Run subscribes it.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, suppliedUntil: make(map[string]time.Time)}
}

// SuppliedUntil returns the time until which the replica of a prefix is recent enough
// without a call to the store.
func (c *Client) SuppliedUntil(prefix string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suppliedUntil[prefix]
}

// Run subscribes to one relay after the other until ctx is done.
func (c *Client) Run(ctx context.Context) {
	n := 0
	for ctx.Err() == nil {
		relays := c.cfg.Relays()
		if len(relays) == 0 {
			pauser.Pause(ctx, pollInterval)
			continue
		}
		relay := relays[n%len(relays)]
		err := c.subscribe(ctx, relay)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errBehind) {
			n++
		}
		c.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "relay_lost", "relay": relay.String()}).Info("connection to relay ended")
		pauser.Pause(ctx, reconnectDelay+rand.N(reconnectDelay))
	}
}

// subscribe applies the updates of a relay until the connection ends, another VM is the
// relay, or its replicas are outdated.
func (c *Client) subscribe(ctx context.Context, relay netip.AddrPort) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, connectTimeout)
	defer cancelDial()
	ws, err := messenger.DialWebSocket(dialCtx, c.cfg.Client, "ws://"+relay.String()+Path, maxMessageBytes)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	defer func() { _ = ws.CloseNow() }()
	revisions, eras := c.cfg.Sink.Versions().Split()
	if err := messenger.WriteValue(ctx, ws, Subscription{Node: c.cfg.Node, Revisions: revisions, Eras: eras}); err != nil {
		return err
	}
	c.cfg.Log.WithFields(logrus.Fields{"event": "relay_found", "relay": relay.String()}).Info("connected to relay")
	watchdog := time.AfterFunc(maxOutdated, cancel)
	defer watchdog.Stop()
	for {
		var news News
		if err := messenger.ReadValue(ctx, ws, &news); err != nil {
			return err
		}
		if err := news.Check(); err != nil {
			return err
		}
		if c.apply(time.Now(), news) {
			watchdog.Reset(maxOutdated)
		}
		if c.isBehind(news) {
			return errBehind
		}
		if !slices.Contains(c.cfg.Relays(), relay) {
			return fmt.Errorf("VM at %s is no longer a relay", relay)
		}
	}
}

// apply applies the updates and reports whether all are recent enough.
func (c *Client) apply(now time.Time, news News) bool {
	recent := len(news.Updates) > 0
	c.cfg.Sink.RecordWeightsAges(now, news.WeightsAges)
	for _, u := range news.Updates {
		if !c.cfg.Sink.ApplyUpdate(now, u) {
			recent = false
			continue
		}
		until := now.Add(c.cfg.MaxAge(u.Prefix) - time.Duration(u.AgeMillis)*time.Millisecond)
		recent = recent && until.After(now)
		c.mu.Lock()
		if until.After(c.suppliedUntil[u.Prefix]) {
			c.suppliedUntil[u.Prefix] = until
		}
		c.mu.Unlock()
	}
	return recent
}

// isBehind reports whether the replica of a prefix stayed behind its update.
func (c *Client) isBehind(news News) bool {
	versions := c.cfg.Sink.Versions()
	return slices.ContainsFunc(news.Updates, func(u informer.Update) bool {
		version, ok := versions[u.Prefix]
		return ok && u.Version().After(version)
	})
}
