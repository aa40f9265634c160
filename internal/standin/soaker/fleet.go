package soaker

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"
)

// Ports of a soak. They lie below the ephemeral port range, from which the kernel
// assigns the ports of outgoing connections.
const (
	firstPort = 10000
	lastPort  = 30000
)

// portCounter counts the ports that soaks of this process have taken.
var portCounter atomic.Uint32

// processAddress returns a loopback address that derives from the process ID, so that soaks
// of several processes do not meet.
func processAddress() netip.Addr {
	id := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(128 + id>>16&63), byte(id >> 8), byte(id)}) //nolint:gosec // The bytes of the ID are wanted.
}

// nextAddress returns an unused loopback address.
func nextAddress() netip.AddrPort { return netip.AddrPortFrom(processAddress(), nextPorts(1)) }

// nextAddresses returns two unused loopback addresses with consecutive ports. A gateway
// listens at the port after its internal one.
func nextAddresses() (first, second netip.AddrPort) {
	ip, port := processAddress(), nextPorts(2)
	return netip.AddrPortFrom(ip, port), netip.AddrPortFrom(ip, port+1)
}

// nextPorts takes n consecutive ports and returns the first.
func nextPorts(n uint32) uint16 {
	for {
		if first := (portCounter.Add(n) - n) % (lastPort - firstPort); first+n <= lastPort-firstPort {
			return uint16(firstPort + first)
		}
	}
}

// fleet holds the gateways, the servers that surround them and the links between
// them.
type fleet struct {
	gateways []*Gateway
	// links maps the names of links to them. The link of an upstream has its name,
	// those of a gateway are called GATEWAY/front and GATEWAY/store.
	links map[string]*Link
	// upstreams maps the names of upstreams to the addresses of their links.
	upstreams map[string]netip.AddrPort
	servers   []*http.Server
}

func newFleet(cfg Config, journal *Journal) (*fleet, error) {
	f := &fleet{links: make(map[string]*Link), upstreams: make(map[string]netip.AddrPort)}
	err := f.serveUpstreams(cfg.Site.Upstreams())
	store, storeErr := f.serve(cfg.Site.Store())
	err = errors.Join(err, storeErr)
	for i := range cfg.Gateways {
		g := &Gateway{
			Name: fmt.Sprintf("vm%d", i+1), program: cfg.Program, journal: journal,
			Client: nextAddress(), Ready: nextAddress(),
		}
		g.Internal, g.Metrics = nextAddresses()
		var frontErr, linkErr error
		g.Front, frontErr = f.link(g.Name+"/"+frontTarget, g.Client)
		g.Store, linkErr = f.link(g.Name+"/"+storeTarget, store)
		err = errors.Join(err, frontErr, linkErr)
		f.gateways = append(f.gateways, g)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) serveUpstreams(upstreams []Upstream) error {
	for _, u := range upstreams {
		server, err := f.serve(u.Handler)
		if err != nil {
			return err
		}
		if f.upstreams[u.Name], err = f.link(u.Name, server); err != nil {
			return err
		}
		u.SetLink(f.links[u.Name])
	}
	return nil
}

// serve starts a server and returns its address.
func (f *fleet) serve(handler http.Handler) (netip.AddrPort, error) {
	address := nextAddress()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return address, fmt.Errorf("listen for stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return address, nil
}

func (f *fleet) link(name string, server netip.AddrPort) (netip.AddrPort, error) {
	address := nextAddress()
	l, err := newLink(address, server)
	if err != nil {
		return address, err
	}
	f.links[name] = l
	return address, nil
}

func (f *fleet) close() {
	for _, l := range f.links {
		l.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// gateway returns the gateway of a name, or nil.
func (f *fleet) gateway(name string) *Gateway {
	i := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.Name == name })
	if i < 0 {
		return nil
	}
	return f.gateways[i]
}

// isReady reports whether all gateways are in rotation.
func (f *fleet) isReady() bool {
	return !slices.ContainsFunc(f.gateways, func(g *Gateway) bool { return !g.isInRotation() })
}

func (f *fleet) names() []string {
	names := make([]string, 0, len(f.gateways))
	for _, g := range f.gateways {
		names = append(names, g.Name)
	}
	return names
}

func (f *fleet) upstreamNames() []string { return slices.Sorted(maps.Keys(f.upstreams)) }

func (f *fleet) linkNames() []string { return slices.Sorted(maps.Keys(f.links)) }
