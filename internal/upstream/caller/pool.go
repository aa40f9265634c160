package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxUpstreams bounds the number of upstreams with pooled connections.
	maxUpstreams = 2048
	// maxIdlePerUpstream bounds the number of idle connections to one upstream.
	maxIdlePerUpstream = 64
	// idleConnectionTimeout is how long an idle connection is kept by default.
	idleConnectionTimeout = 30 * time.Second
	// MaxHeaderBytes bounds the size of a response header, and of all informational ones
	// before it.
	MaxHeaderBytes = 64 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool has a separate HTTP transport for each upstream, so that the idle
// connections to one upstream can be closed together.
type pool struct {
	dial        DialFunc
	idleTimeout time.Duration
	// unpooled opens a new connection for each call.
	unpooled *http.Transport

	mu         sync.Mutex
	transports *simplelru.LRU[netip.AddrPort, *http.Transport]
}

func newPool(dial DialFunc, idleTimeout time.Duration) *pool {
	p := &pool{dial: dial, idleTimeout: idleTimeout}
	p.unpooled = p.newTransport()
	p.unpooled.DisableKeepAlives = true
	transports, err := simplelru.NewLRU(maxUpstreams, func(_ netip.AddrPort, t *http.Transport) {
		t.CloseIdleConnections()
	})
	if err != nil {
		panic(fmt.Sprintf("create LRU cache of %d upstream transports: %v", maxUpstreams, err))
	}
	p.transports = transports
	return p
}

func (p *pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            p.connect,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        p.idleTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		DisableCompression:     true,
	}
}

func (p *pool) connect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConnection(conn), nil
}

// transport returns the HTTP transport for a call to address.
func (p *pool) transport(address netip.AddrPort, newConnection bool) *http.Transport {
	if newConnection {
		return p.unpooled
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.transports.Get(address)
	if !ok {
		t = p.newTransport()
		p.transports.Add(address, t)
	}
	return t
}

// closeIdle closes the idle connections to address.
func (p *pool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	t, ok := p.transports.Get(address)
	p.mu.Unlock()
	if ok {
		t.CloseIdleConnections()
	}
}

// close closes all idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transports.Purge()
	p.unpooled.CloseIdleConnections()
}
