package receiver_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/serving/receiver"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const (
	callerKey = "caller-key"
	// memoryBudget is the budget for the bytes of callers.
	memoryBudget = 64 << 20
)

var upstreamAddress = addressOf(0)

func addressOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func testBundle() checker.Bundle {
	sum := sha256.Sum256([]byte(callerKey))
	d := func(v time.Duration) checker.Duration { return checker.Duration(v) }
	upstream := checker.Upstream{
		Address: upstreamAddress, Region: "jhb-a", AvailabilityZone: "jhb-a1", Slots: 8,
	}
	engine, service := upstream, upstream
	engine.Name, engine.Kind, engine.Models = "up-0", checker.Engine, []string{"tile-match"}
	service.Name, service.Kind = "desk-0", checker.PlainService
	return checker.Bundle{
		Deployment: "test",
		Version:    1,
		Regions:    []checker.Region{{Name: "jhb-a", AvailabilityZones: []string{"jhb-a1"}}},
		Organisations: []checker.Organisation{{
			Name: "kliek-teels", KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1,
			Priority: checker.Interactive, Models: []string{"tile-match"}, Services: []string{"sample-desk"},
		}},
		Models: []checker.Model{
			{Name: "tile-match", WeightsVersion: "w1", MinReplicas: 1, ContinueElsewhere: true, MaxPromptBytes: 1000, MaxTokens: 4096},
			{Name: "other", WeightsVersion: "w1", MinReplicas: 1, MaxPromptBytes: 1000, MaxTokens: 4096},
		},
		Upstreams: []checker.Upstream{engine, service},
		Services: []checker.Service{
			{Name: "sample-desk", Upstreams: []string{"desk-0"}, Calls: []checker.Call{{Method: http.MethodGet, Path: "/stock/*", Idempotent: true}}},
			{Name: "other-desk", Upstreams: []string{"desk-0"}},
		},
		Policy: checker.Policy{
			Selection: checker.SelectionPolicy{Name: "round_robin", LookupTimeout: d(time.Millisecond)},
			Admission: checker.AdmissionPolicy{QueueLength: 8, MaxWait: d(time.Second), BatchMaxWait: d(time.Second), BatchShare: 0.5},
			Attempts:  checker.AttemptPolicy{MaxAttempts: 3, RetryBudget: 1, Cooldown: d(time.Second), MaxEjected: 0.5},
			Streams: checker.StreamPolicy{
				FirstByteTimeout: d(10 * time.Second), IdleTimeout: d(3 * time.Second), TotalTimeout: d(10 * time.Minute),
				CallerWriteTimeout: d(5 * time.Second), MaxResumes: 3,
			},
			Placement: checker.PlacementPolicy{MaxLoads: 1, LeaseTTL: d(time.Second), OrderTimeout: d(time.Second), MinDwell: d(time.Second)},
		},
	}
}

// newHolder returns a holder with the test bundle in force, or without a bundle
// if inForce is false.
func newHolder(t *testing.T, inForce bool) *holder.Holder {
	t.Helper()
	key, err := signer.NewPrivateKey("ops-1")
	if err != nil {
		t.Fatal(err)
	}
	h := holder.New(holder.Config{Verifier: signer.Verifier{
		Deployment: "test",
		Keys:       map[string]ed25519.PublicKey{"ops-1": key.Public().PublicKey},
		Threshold:  1,
	}})
	if !inForce {
		return h
	}
	document, err := json.Marshal(testBundle())
	if err != nil {
		t.Fatal(err)
	}
	e := signer.Envelope{Document: document}
	e.Sign(key.ID, key.Key())
	if err := h.Offer(time.Now(), e); err != nil {
		t.Fatal(err)
	}
	return h
}

// orderedChooser chooses the first upstream that is not excluded, up-0 to up-N, or fails
// with err.
type orderedChooser struct {
	err error
	// more is the number of upstreams beside up-0.
	more int
}

func (c orderedChooser) choose(id string, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	if c.err != nil {
		return dispatcher.Choice{}, c.err
	}
	for n := range c.more + 1 {
		if name := fmt.Sprintf("up-%d", n); !excluded[name] {
			return dispatcher.Choice{RequestID: id, Attempt: attempt, Target: caller.Target{Name: name, Address: addressOf(n)}}, nil
		}
	}
	return dispatcher.Choice{}, errNoUpstream
}

// Choose implements dispatcher.Chooser.
func (c orderedChooser) Choose(_ context.Context, j dispatcher.Job, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	return c.choose(j.ID, attempt, excluded)
}

// ChooseService implements dispatcher.Chooser.
func (c orderedChooser) ChooseService(_ context.Context, j dispatcher.ServiceJob, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	return c.choose(j.ID, attempt, excluded)
}

// Sent implements dispatcher.Chooser.
func (c orderedChooser) Sent(time.Time, dispatcher.Choice) {}

// FirstToken implements dispatcher.Chooser.
func (c orderedChooser) FirstToken(time.Time, dispatcher.Choice) {}

// Finished implements dispatcher.Chooser.
func (c orderedChooser) Finished(time.Time, dispatcher.Choice) {}

// Failed implements dispatcher.Chooser.
func (c orderedChooser) Failed(time.Time, dispatcher.Choice, error) {}

// Abandoned implements dispatcher.Chooser.
func (c orderedChooser) Abandoned(time.Time, dispatcher.Choice) {}

// newHandler returns the HTTP handler of a router that connects to its upstreams
// through dial.
func newHandler(t *testing.T, h *holder.Holder, dial caller.DialFunc, chooser dispatcher.Chooser) (http.Handler, *caller.Caller) {
	t.Helper()
	memory := reserver.New(reserver.Config{Bytes: memoryBudget, Meter: meter.New(), Log: discardLog()})
	return newLimitedHandler(t, h, dial, chooser, memory)
}

// newLimitedHandler returns such a handler with a memory budget. It checks that nothing is
// left reserved at the end of the test.
func newLimitedHandler(t *testing.T, h *holder.Holder, dial caller.DialFunc, chooser dispatcher.Chooser, memory *reserver.Reserver) (http.Handler, *caller.Caller) {
	t.Helper()
	t.Cleanup(func() {
		if held := memory.Held(); held != 0 {
			t.Errorf("%d bytes are left reserved", held)
		}
	})
	upstreamCaller := caller.New(caller.Config{Dial: dial})
	dispatch := dispatcher.New(dispatcher.Config{Caller: upstreamCaller, Chooser: chooser, Log: discardLog()})
	handler, err := receiver.New(receiver.Config{Holder: h, Dispatcher: dispatch, Memory: memory, Log: discardLog()}).Handler()
	if err != nil {
		t.Fatal(err)
	}
	return handler, upstreamCaller
}
