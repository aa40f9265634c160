package forwarder

import (
	"errors"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// errOutdated is the error of an attempt that was not sent since its engine's weights
// had become too old while a connection was opened.
var errOutdated = errors.New("weights of the engine are too old to be sent to")

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
	x.logAttempt("attempt_outdated", now, u).Info("request is not sent, the weights of its engine are too old")
	return errOutdated
}
