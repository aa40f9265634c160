package dispatcher

import (
	"errors"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// choiceFailure returns the error for the caller after no upstream could be
// chosen. Failures of earlier attempts determine its kind.
func (s *session) choiceFailure(err error) error {
	if s.lastErr == nil || errors.Is(s.lastErr, noticer.ErrWithheld) && !s.sent {
		return err
	}
	s.lastErr = errors.Join(err, s.lastErr)
	return withRetryAt(s.finalError(), err)
}

// withRetryAt returns final with the retry time of the error of a choice.
func withRetryAt(final, choice error) error {
	var to, from *classifier.Error
	if errors.As(final, &to) && errors.As(choice, &from) && to.RetryAt.IsZero() {
		to.RetryAt = from.RetryAt
	}
	return final
}

// finalError returns the error for the caller of an answer that cannot be
// completed.
func (s *session) finalError() error {
	passed := s.seq.DeliveredChunks()
	switch {
	case passed > 0:
		s.d.count(Broken, 1)
		return classifier.Wrap(classifier.StreamBroken, s.lastErr, "the answer broke off after %d chunks", passed)
	case s.permanent:
		return classifier.Wrap(classifier.InvalidRequest, s.lastErr, "the engine does not take the request")
	case !s.sent && s.refused:
		return classifier.Wrap(classifier.UpstreamRefused, s.lastErr, "every upstream refused the request")
	case !s.sent:
		return classifier.Wrap(classifier.NoUpstream, s.lastErr, "no upstream could be reached")
	case s.lastSilent:
		return classifier.Wrap(classifier.Timeout, s.lastErr, "no upstream answered in time")
	}
	return classifier.Wrap(classifier.UpstreamFailed, s.lastErr, "no attempt succeeded")
}
