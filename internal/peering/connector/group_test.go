package connector_test

import (
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/peering/connector"
	"gentianstep.example/gentianstep/internal/peering/distributor"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/testing/piper"
)

var (
	here  = netip.MustParseAddrPort("10.0.0.1:7400")
	there = netip.MustParseAddrPort("10.0.0.2:7400")
)

// pair is a group of connections and one controller that it connects to.
type pair struct {
	network *piper.Network
	group   *connector.Group
	// acks counts the answers that came back, lost the connections that ended.
	acks, lost atomic.Int32
}

func ping() messenger.Message {
	from := tracker.Member{Address: here, Incarnation: 1, State: tracker.Alive, Name: "vm-1"}
	return messenger.Message{Membership: &tracker.Message{Kind: tracker.Ping, Sequence: 1, From: from}}
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{network: piper.New()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	spread := distributor.New(distributor.Config{
		Hello:  messenger.Hello{Deployment: "d", Node: "vm-2", Role: messenger.Controller},
		Holder: holder.New(holder.Config{}),
		OnMessage: func(l *distributor.Link, m messenger.Message) {
			ack := *m.Membership
			ack.Kind = tracker.Ack
			ack.From.Address = there
			l.Send(messenger.Message{Membership: &ack})
		},
		Log: logrus.NewEntry(log),
	})
	p.network.Serve(there.String(), spread)
	transport := &http.Transport{DialContext: p.network.Dial}
	t.Cleanup(transport.CloseIdleConnections)
	p.group = connector.NewGroup(connector.GroupConfig{Connector: connector.Config{
		Hello:     messenger.Hello{Deployment: "d", Node: "vm-1", Role: messenger.Controller},
		Holder:    holder.New(holder.Config{}),
		OnDown:    func(messenger.Hello) { p.lost.Add(1) },
		OnMessage: func(messenger.Message) { p.acks.Add(1) },
		Client:    &http.Client{Transport: transport},
		Log:       logrus.NewEntry(log),
	}})
	p.group.SetMembers(map[string]netip.AddrPort{"vm-2": there})
	return p
}

func TestGroupConnectsAsMessagesAreSent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.network.Close()
		go p.group.Run(t.Context(), nil)
		after := func(d time.Duration) {
			<-time.After(d)
			synctest.Wait()
		}
		after(time.Second)
		p.group.SendTo(there, ping())
		after(time.Second)
		is.Equal(p.acks.Load(), int32(1))     // the held message went out once
		is.True(p.group.Send("vm-2", ping())) // a connection is there
		p.network.Lose(there.String(), false) // and goes silent
		after(time.Second)
		heard := p.acks.Load()
		p.group.SendTo(there, ping()) // over the silent one
		after(time.Second)
		is.Equal(p.acks.Load(), heard) // nobody answers
		p.group.Probe(there, ping())
		after(time.Second)
		is.Equal(p.acks.Load(), heard+1) // over a new one somebody does
		after(10 * time.Second)
		is.Equal(p.lost.Load(), int32(1))  // the silent one was ended
		is.True(p.group.Connected("vm-2")) // and replaced
		after(2 * time.Minute)
		is.Equal(p.lost.Load(), int32(2))      // an idle one is ended
		is.True(!p.group.Send("vm-2", ping())) // asks for a new one
		after(time.Second)
		is.True(p.group.Send("vm-2", ping())) // which is there
		p.network.Stop(there.String())
		after(time.Second)
		is.True(!p.group.Send("vm-2", ping())) // a dead one takes nothing
	})
}
