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
	localAddress  = netip.MustParseAddrPort("10.0.0.1:7400")
	remoteAddress = netip.MustParseAddrPort("10.0.0.2:7400")
)

// fixture is a Group and one controller to connect to.
type fixture struct {
	network *piper.Network
	group   *connector.Group
	// acks counts the acks received, disconnects the connections that ended.
	acks, disconnects atomic.Int32
}

func ping() messenger.Message {
	from := tracker.Member{Address: localAddress, Incarnation: 1, State: tracker.Alive, Name: "vm-1"}
	return messenger.Message{Membership: &tracker.Message{Kind: tracker.Ping, Sequence: 1, From: from}}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{network: piper.New()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := distributor.New(distributor.Config{
		Hello:  messenger.Hello{Deployment: "d", Node: "vm-2", Role: messenger.Controller},
		Holder: holder.New(holder.Config{}),
		OnMessage: func(l *distributor.Link, m messenger.Message) {
			ack := *m.Membership
			ack.Kind = tracker.Ack
			ack.From.Address = remoteAddress
			l.Send(messenger.Message{Membership: &ack})
		},
		Log: logrus.NewEntry(log),
	})
	f.network.Serve(remoteAddress.String(), server)
	transport := &http.Transport{DialContext: f.network.Dial}
	t.Cleanup(transport.CloseIdleConnections)
	f.group = connector.NewGroup(connector.GroupConfig{Connector: connector.Config{
		Hello:        messenger.Hello{Deployment: "d", Node: "vm-1", Role: messenger.Controller},
		Holder:       holder.New(holder.Config{}),
		OnDisconnect: func(messenger.Hello) { f.disconnects.Add(1) },
		OnMessage:    func(messenger.Message) { f.acks.Add(1) },
		Client:       &http.Client{Transport: transport},
		Log:          logrus.NewEntry(log),
	}})
	f.group.SetMembers(map[string]netip.AddrPort{"vm-2": remoteAddress})
	return f
}

// TestGroupConnectsAsMessagesAreSent sends over a connection that has gone silent
// while the controller is alive: only a probe over a new connection shows that. It
// also checks that idle connections are closed and opened again on demand.
func TestGroupConnectsAsMessagesAreSent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		defer f.network.Close()
		go f.group.Run(t.Context(), nil)
		after := func(d time.Duration) {
			<-time.After(d)
			synctest.Wait()
		}
		after(time.Second)
		f.group.SendTo(remoteAddress, ping())
		after(time.Second)
		is.Equal(f.acks.Load(), int32(1))             // the held message was sent once
		is.True(f.group.Send("vm-2", ping()))         // the connection is open
		f.network.Lose(remoteAddress.String(), false) // the open connection goes silent
		after(time.Second)
		before := f.acks.Load()
		f.group.SendTo(remoteAddress, ping()) // over the silent connection
		after(time.Second)
		is.Equal(f.acks.Load(), before) // no ack is received
		f.group.Probe(remoteAddress, ping())
		after(time.Second)
		is.Equal(f.acks.Load(), before+1) // the probe over a new connection is acked
		after(10 * time.Second)
		is.Equal(f.disconnects.Load(), int32(1)) // the silent connection was closed
		is.True(f.group.Connected("vm-2"))       // a new connection was opened
		after(2 * time.Minute)
		is.Equal(f.disconnects.Load(), int32(2)) // the idle connection was closed
		is.True(!f.group.Send("vm-2", ping()))   // dropped, but opens a connection
		after(time.Second)
		is.True(f.group.Send("vm-2", ping())) // the new connection is open
		f.network.Stop(remoteAddress.String())
		after(time.Second)
		is.True(!f.group.Send("vm-2", ping())) // not queued after the controller has stopped
	})
}
