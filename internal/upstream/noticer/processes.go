package noticer

import (
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// ProcessesConfig configures a Processes.
type ProcessesConfig struct {
	Noticer *Noticer
	// OnLeaving is called with the name of an upstream that has stated for the
	// first time that it is leaving.
	OnLeaving func(now time.Time, name string)
}

// Processes applies a Noticer to the upstreams of a bundle, whose processes
// differ by incarnation number. It implements caller.Notices and is safe for
// concurrent use.
type Processes struct {
	cfg ProcessesConfig

	mu           sync.Mutex
	addresses    map[string]netip.AddrPort
	names        map[netip.AddrPort]string
	incarnations map[string]*incarnations
}

// incarnations holds the first and the latest known incarnation of an upstream.
type incarnations struct{ first, latest uint64 }

var _ caller.Notices = (*Processes)(nil)

// NewProcesses returns a Processes without upstreams.
func NewProcesses(cfg ProcessesConfig) *Processes {
	return &Processes{cfg: cfg, incarnations: make(map[string]*incarnations)}
}

// SetUpstreams sets the upstreams to those of a new bundle.
func (p *Processes) SetUpstreams(list []checker.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses, p.names = make(map[string]netip.AddrPort, len(list)), make(map[netip.AddrPort]string, len(list))
	for _, u := range list {
		p.addresses[u.Name], p.names[u.Address] = u.Address, u.Name
	}
}

// RecordReports records the incarnations in reports of engines.
func (p *Processes) RecordReports(reports []observer.Report) {
	for _, r := range reports {
		p.recordIncarnation(r.Upstream, r.Incarnation)
	}
}

// Admit implements caller.Notices.
func (p *Processes) Admit(t caller.Target, call caller.Call) error {
	if call.Running {
		return p.cfg.Noticer.AdmitCall(p.process(t), true)
	}
	return p.cfg.Noticer.Admit(p.process(t), false)
}

// Record implements caller.Notices.
func (p *Processes) Record(t caller.Target, sentAt time.Time, status int, h http.Header, own bool) {
	stated, _ := strconv.ParseUint(h.Get(encoder.HeaderIncarnation), 10, 64) // plain services state none
	if !p.recordIncarnation(t.Name, stated) {
		return // a late response of an earlier process
	}
	notice := decodeNotice(status, h)
	notice.SentAt = sentAt
	if !own {
		notice = notice.OfOther()
	}
	changes := p.cfg.Noticer.Record(p.process(t), notice)
	for _, c := range changes {
		if c.Type == withholder.LeavingTold && p.cfg.OnLeaving != nil {
			p.cfg.OnLeaving(time.Now(), t.Name)
		}
	}
}

// recordIncarnation returns false if a later incarnation is known.
func (p *Processes) recordIncarnation(name string, incarnation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if incarnation == 0 {
		return true // not stated
	}
	known, ok := p.incarnations[name]
	if !ok {
		known = &incarnations{first: incarnation}
		p.incarnations[name] = known
	}
	if incarnation < known.latest {
		return false
	}
	known.latest = incarnation
	return true
}

// IsOpen reports whether an upstream of the bundle may get any request.
func (p *Processes) IsOpen(name string) bool {
	return p.cfg.Noticer.MayRequest(p.process(p.target(name)))
}

// LimitShare returns this process's even share of the limit of an upstream of the bundle in
// requests a second, 0 if it has none.
func (p *Processes) LimitShare(name string) float64 {
	return p.cfg.Noticer.LimitShare(p.process(p.target(name)))
}

// SetFleet sets the VMs that share the limits of upstreams.
func (p *Processes) SetFleet(f throttler.Fleet) { p.cfg.Noticer.SetFleet(f) }

// HeldUntil returns the end of the hold-off of an upstream of the bundle, or the
// zero time if it has requested none.
func (p *Processes) HeldUntil(name string) time.Time {
	return p.cfg.Noticer.HeldUntil(p.process(p.target(name)))
}

func (p *Processes) target(name string) caller.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return caller.Target{Name: name, Address: p.addresses[name]}
}

// targetAt returns the upstream at an address.
func (p *Processes) targetAt(address netip.AddrPort) caller.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, ok := p.names[address]
	if !ok {
		name = address.String()
	}
	return caller.Target{Name: name, Address: address}
}

// process returns the latest known process of an upstream. What an upstream has
// stated before its first incarnation was known applies to that one.
func (p *Processes) process(t caller.Target) *registrar.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &registrar.Upstream{ID: t.Name, Service: t.Name, Address: t.Address}
	if known, ok := p.incarnations[t.Name]; ok && known.latest != known.first {
		u.ID += "/" + strconv.FormatUint(known.latest, 10)
	}
	return u
}

// decodeNotice returns what an upstream of a bundle states about itself in the
// head of a response. Invalid values are reported in Notice.Err.
func decodeNotice(status int, h http.Header) withholder.Notice {
	refused := h.Get(encoder.HeaderNotRun) == "true" || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	n := withholder.Notice{Accepted: !refused}
	var leavingErr, holdOffErr, limitErr error
	n.Leaving, leavingErr = DecodeLeaving(h, encoder.HeaderLeaving, "true")
	if status == http.StatusServiceUnavailable {
		n.HoldOff, holdOffErr = DecodeHoldOff(h)
	}
	n.Limit, limitErr = DecodeLimit(h, encoder.HeaderLimit)
	n.Err = errors.Join(leavingErr, holdOffErr, limitErr)
	return n
}
