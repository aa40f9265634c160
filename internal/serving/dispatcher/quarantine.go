package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/streaming/resumer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const (
	// segmentBytes is the length of the segments into which a prompt is split that is no
	// list of messages.
	segmentBytes = 1024
	// maxCrashChunks is the number of chunks of an attempt up to which its request counts
	// as one under which an engine crashed: engines crash when they begin to write.
	maxCrashChunks = 1
)

// Isolator decides which requests are not sent since upstreams crash under them.
type Isolator interface {
	// Check returns the refusal of a request, or false if it may be sent. Admit is like
	// Check, for a request that is about to be sent.
	Check(fingerprints []quarantiner.Fingerprint) (quarantiner.Refusal, bool)
	Admit(fingerprints []quarantiner.Fingerprint) bool
	// RecordAnswer records a complete response.
	RecordAnswer(fingerprints []quarantiner.Fingerprint, weights uint64)
	// RecordBroken records a connection that broke before the end of a response.
	RecordBroken(u *registrar.Upstream, crash quarantiner.Crash)
}

// admit returns the refusal of a request that is not sent since upstreams crash under
// requests like it, or nil.
func (d *Dispatcher) admit(fingerprints []quarantiner.Fingerprint) error {
	if d.cfg.Isolator == nil || d.cfg.Isolator.Admit(fingerprints) {
		return nil
	}
	refusal, _ := d.cfg.Isolator.Check(fingerprints)
	err := classifier.New(classifier.Quarantined, "upstreams crash under requests with %s", refusal.Fingerprint)
	err.RetryAt = refusal.TrialAt
	return err
}

func (d *Dispatcher) recordAnswer(fingerprints []quarantiner.Fingerprint) {
	if d.cfg.Isolator != nil {
		// Engines answer on the weights of the request alone.
		d.cfg.Isolator.RecordAnswer(fingerprints, 0)
	}
}

func (d *Dispatcher) recordBroken(target caller.Target, fingerprints []quarantiner.Fingerprint, sentAt time.Time) {
	if d.cfg.Isolator != nil {
		u := &registrar.Upstream{ID: target.Name, Address: target.Address}
		d.cfg.Isolator.RecordBroken(u, quarantiner.Crash{Fingerprints: fingerprints, SentAt: sentAt, At: time.Now()})
	}
}

// recordCrash records a failed exchange under which the upstream may have crashed.
func (s *session) recordCrash(b resumer.Failure) {
	if b.Sent && !b.Refused && !b.StreamLost && s.seq.DeliveredChunks()-s.chunksBefore <= maxCrashChunks {
		s.d.recordBroken(s.choice.Target, s.fingerprints, s.sentAt)
	}
}

// recordCrash records a failed call under which the upstream may have crashed.
func (c *serviceCall) recordCrash(ctx context.Context, choice Choice, err error) {
	var failure *caller.Failure
	if ctx.Err() == nil && errors.As(err, &failure) && failure.Sent && !failure.NotRun && failure.Status == 0 {
		c.d.recordBroken(choice.Target, c.fingerprints, c.sentAt)
	}
}

// fingerprints returns what the request may have in common with others: its messages, or
// the segments of its prompt, for the model on its weights.
func (j Job) fingerprints() []quarantiner.Fingerprint {
	model := j.Model.Name + "@" + j.Model.WeightsVersion
	var list []quarantiner.Fingerprint
	for _, m := range j.Request.Messages {
		list = append(list, quarantiner.NewPart(model, contentID(m.Role, m.Content)))
	}
	if len(list) > 0 {
		return list[:min(len(list), quarantiner.MaxFingerprints)]
	}
	prompt := j.Request.Text()
	list = append(list, quarantiner.NewPart(model, contentID(prompt)))
	for len(prompt) > segmentBytes && len(list) < quarantiner.MaxFingerprints {
		list = append(list, quarantiner.NewPart(model, contentID(prompt[:segmentBytes])))
		prompt = prompt[segmentBytes:]
	}
	return list
}

// contentID returns an ID of a content.
func contentID(texts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(texts, "\x00")))
	return hex.EncodeToString(sum[:12])
}

// fingerprints returns what identifies the content of the call.
func (j ServiceJob) fingerprints() []quarantiner.Fingerprint {
	return []quarantiner.Fingerprint{
		quarantiner.NewRequest(j.Organisation.Name, j.Method, j.Service.Name, j.requestTarget(), j.Body),
	}
}
