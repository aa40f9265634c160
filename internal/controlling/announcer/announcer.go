package announcer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// tickInterval is the interval between two ticks of the tracker.
const tickInterval = 100 * time.Millisecond

// Announcer runs the tracker of a controller. Run is the only goroutine that uses the
// tracker; the other methods queue inputs for it.
type Announcer struct {
	cfg     Config
	inputs  chan input
	tracker *tracker.Tracker
}

// New returns an Announcer whose tracker has no members except Self and the seed
// addresses.
func New(cfg Config) *Announcer {
	return &Announcer{
		cfg:     cfg,
		inputs:  make(chan input, inputQueueSize),
		tracker: tracker.New(time.Now(), tracker.Config{Self: cfg.Self, Seeds: cfg.Seeds, Seed: cfg.Seed}),
	}
}

// ReceiveMessage queues a message received from a peer. reply sends a message on the
// connection on which m was received. The message is dropped if the input queue is
// full.
func (a *Announcer) ReceiveMessage(m tracker.Message, reply func(messenger.Message) bool) {
	a.enqueue(input{message: &receivedMessage{message: m, reply: reply}})
}

// ReceiveVMList queues the platform's list of this system's own VMs. The list is
// dropped if the input queue is full.
func (a *Announcer) ReceiveVMList(vms []storer.VM) { a.enqueue(input{vms: vms}) }

// Leave queues the announcement that this controller shuts down. It is dropped if the
// input queue is full.
func (a *Announcer) Leave() { a.enqueue(input{leave: true}) }

// enqueue queues an input and drops it if the queue is full.
func (a *Announcer) enqueue(in input) {
	select {
	case a.inputs <- in:
	default:
	}
}

// Run runs the membership protocol until ctx is cancelled.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case in := <-a.inputs:
			a.handle(time.Now(), in)
		case now := <-ticker.C:
			a.tracker.SetBundleVersion(a.cfg.BundleVersion())
			a.apply(a.tracker.Tick(now), nil)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Announcer) handle(now time.Time, in input) {
	switch {
	case in.message != nil:
		a.handleMessage(now, in.message)
	case in.leave:
		a.leave(now)
	default:
		a.apply(a.tracker.HandleVMList(now, in.vms), nil)
	}
}

// handleMessage passes a message to the tracker and applies the effects.
func (a *Announcer) handleMessage(now time.Time, m *receivedMessage) {
	e, err := a.tracker.HandleMessage(now, m.message)
	if err != nil {
		a.cfg.Log.WithError(err).Warn("invalid membership message rejected")
		return
	}
	a.apply(e, m)
}

func (a *Announcer) leave(now time.Time) {
	a.cfg.Log.WithField("event", "membership").WithField("state", tracker.Leaving).Info("announcing that this controller is leaving")
	a.apply(a.tracker.Leave(now), nil)
}

// apply sends the messages of the effects, logs the member changes and calls
// OnMembers if there are any. received is the message that caused the effects, or nil.
func (a *Announcer) apply(e tracker.Effects, received *receivedMessage) {
	for _, s := range e.Outgoing {
		a.send(s, received)
	}
	for _, c := range e.Changes {
		a.logChange(c)
	}
	if len(e.Changes) > 0 {
		a.cfg.OnMembers(a.members())
	}
	if e.SelfLeaving && a.tracker.Self().State != tracker.Leaving {
		a.leave(time.Now())
	}
}

// send sends a message to a peer. A message to the sender of received is a reply and
// uses the connection of received if that still works.
func (a *Announcer) send(s tracker.OutgoingMessage, received *receivedMessage) {
	m := messenger.Message{Membership: &s.Message}
	if s.NewConnection {
		a.cfg.Peers.Probe(s.To, m)
		return
	}
	if received != nil && received.message.From.Address == s.To && received.reply(m) {
		return
	}
	a.cfg.Peers.SendTo(s.To, m)
}

// members returns the peers that are eligible as owners of partitions: those that are
// alive or suspect and whose names are known.
func (a *Announcer) members() []tracker.Member {
	var members []tracker.Member
	for _, m := range a.tracker.Members() {
		if m.Name != "" && m.State != tracker.Leaving {
			members = append(members, m)
		}
	}
	return members
}

func (a *Announcer) logChange(c tracker.Change) {
	a.cfg.Log.WithFields(logrus.Fields{
		"event":       "membership",
		"member":      c.Member.Name,
		"address":     c.Member.Address,
		"region":      c.Member.Region,
		"incarnation": c.Member.Incarnation,
		"was":         c.PreviousState.String(),
		"state":       c.Member.State.String(),
	}).Info("state of member changed")
}
