package forwarder

import (
	"errors"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// errOutdated is the error of an attempt that was not sent since its engine's weights had
// become too old, or its cache scope was no longer allowed, while a connection was opened.
var errOutdated = errors.New("weights or cache scope of the attempt are too old")

// Causes for which an attempt is not sent or withdrawn, in the log.
const (
	causeWeights = "weights"
	causeScope   = "scope"
)

// checkWeights returns errOutdated if weights of a version must not be used for new
// requests any more. It is called right before the first byte of an attempt.
func (x *exchange) checkWeights(u *registrar.Upstream, version uint64) error {
	if !x.route.CarriesPrompt {
		return nil
	}
	now := time.Now()
	if oldest, _, _ := x.wantedWeights(now, x.request.Prompt.Model); version >= oldest {
		return nil
	}
	x.logAttempt("attempt_outdated", now, u).WithField("cause", causeWeights).Info("request is not sent, the weights of its engine are too old")
	return errOutdated
}

// checkScope returns errOutdated if an organisation that may have written to the cache scope
// of the attempt has become isolated. It is called right before the first byte of an attempt.
func (x *exchange) checkScope(u *registrar.Upstream, scoped *matcher.Matcher) error {
	if !x.route.CarriesPrompt || x.cfg.Directory.Matcher().AllowsScopeOf(scoped, x.organisation) {
		return nil
	}
	x.logAttempt("attempt_outdated", time.Now(), u).WithField("cause", causeScope).Info("request is not sent, its cache scope is no longer allowed")
	return errOutdated
}

// needsNewConnection reports whether an attempt may only be sent on a connection that
// was opened for it. At an address to which an earlier attempt was sent, a kept one could
// bring the response to that attempt once more, under the same ID. With older weights, bytes
// on a kept connection may be held back on the VM's link for seconds, and so may be those
// that withdraw them. That is too late then, unless an upstream has lately shown that what
// the VM sends arrives.
func (x *exchange) needsNewConnection(now time.Time) bool {
	if x.addresses[x.choice.Upstream.Address] {
		return true
	}
	if !x.route.CarriesPrompt {
		return false
	}
	history := x.cfg.Directory.DesiredWeightsHistory(x.request.Prompt.Model)
	if len(history) == 0 || history[len(history)-1].Version <= x.choice.WeightsVersion {
		return false
	}
	allowed := time.Duration((1 - withdrawShare) * float64(x.weightsApply.Load()))
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Sub(x.linkProvenAt) > allowed
}

// recordAddress records the address of u if a byte of the latest attempt was sent there.
func (x *exchange) recordAddress(u *registrar.Upstream) {
	if x.firstByteSentAt.Load() == nil {
		return
	}
	if x.addresses == nil {
		x.addresses = make(map[netip.AddrPort]bool)
	}
	x.addresses[u.Address] = true
}

// recordLinkProof records that an attempt was answered, so that what was sent with it
// has arrived. The caller holds x.mu.
func (x *exchange) recordLinkProof() {
	if x.sentAt.After(x.linkProvenAt) {
		x.linkProvenAt = x.sentAt
	}
}
