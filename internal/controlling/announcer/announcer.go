package announcer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// tickInterval is the time between two looks at what is due.
const tickInterval = 100 * time.Millisecond

// Announcer owns the tracker of a controller in one goroutine.
type Announcer struct {
	cfg     Config
	inputs  chan input
	tracker *tracker.Tracker
}

// New returns an Announcer that knows of no peer.
func New(cfg Config) *Announcer {
	return &Announcer{
		cfg:     cfg,
		inputs:  make(chan input, inputLimit),
		tracker: tracker.New(time.Now(), tracker.Config{Self: cfg.Self, Seeds: cfg.Seeds, Seed: cfg.Seed}),
	}
}

// Message takes a message of a peer; answer sends one back on the connection
// that it came on. The message is dropped where too many wait.
func (a *Announcer) Message(m tracker.Message, answer func(messenger.Message) bool) {
	a.put(input{message: &arrival{message: m, answer: answer}})
}

// VMs takes the platform's list of this system's own VMs.
func (a *Announcer) VMs(vms []storer.VM) { a.put(input{vms: vms}) }

// Leave announces the shutdown of this controller.
func (a *Announcer) Leave() { a.put(input{leave: true}) }

func (a *Announcer) put(in input) {
	select {
	case a.inputs <- in:
	default:
	}
}

// Run takes part until ctx ends.
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
		a.arrived(now, in.message)
	case in.leave:
		a.leave(now)
	default:
		a.apply(a.tracker.HandleVMList(now, in.vms), nil)
	}
}

func (a *Announcer) arrived(now time.Time, m *arrival) {
	e, err := a.tracker.HandleMessage(now, m.message)
	if err != nil {
		a.cfg.Log.WithError(err).Warn("membership message refused")
		return
	}
	a.apply(e, m)
}

func (a *Announcer) leave(now time.Time) {
	a.cfg.Log.WithField("event", "membership").WithField("state", tracker.Leaving).Info("announcing leave")
	a.apply(a.tracker.Leave(now), nil)
}

// apply carries out what the tracker asks for. Answers go back on the
// connection that the message came on.
func (a *Announcer) apply(e tracker.Effects, from *arrival) {
	for _, s := range e.Outgoing {
		a.send(s, from)
	}
	for _, c := range e.Changes {
		a.log(c)
	}
	if len(e.Changes) > 0 {
		a.cfg.OnMembers(a.members())
	}
	if e.SelfLeaving && a.tracker.Self().State != tracker.Leaving {
		a.leave(time.Now())
	}
}

func (a *Announcer) send(s tracker.OutgoingMessage, from *arrival) {
	m := messenger.Message{Membership: &s.Message}
	if s.NewConnection {
		a.cfg.Peers.Probe(s.To, m)
		return
	}
	if from != nil && from.message.From.Address == s.To && from.answer(m) {
		return
	}
	a.cfg.Peers.SendTo(s.To, m)
}

// members returns the peers that may own something: those that are alive or
// suspect and whose names are known.
func (a *Announcer) members() []tracker.Member {
	var members []tracker.Member
	for _, m := range a.tracker.Members() {
		if m.Name != "" && m.State != tracker.Leaving {
			members = append(members, m)
		}
	}
	return members
}

func (a *Announcer) log(c tracker.Change) {
	a.cfg.Log.WithFields(logrus.Fields{
		"event":       "membership",
		"member":      c.Member.Name,
		"address":     c.Member.Address,
		"region":      c.Member.Region,
		"incarnation": c.Member.Incarnation,
		"was":         c.PreviousState.String(),
		"state":       c.Member.State.String(),
	}).Info("member changed")
}
