package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// coalesceInterval is the shortest time between two messages to one subscriber.
const coalesceInterval = 20 * time.Millisecond

// Source holds the replicas of this VM.
type Source interface {
	// Updates returns an update of each prefix for a VM that has been sent the changes
	// up to a position, and the next position. At first, the position is nil and the
	// versions are those of the VM's replicas.
	Updates(now time.Time, sent informer.Position, versions informer.Versions) ([]informer.Update, informer.Position)
	// UpdateAges returns the ages of the desired versions if updates may change them.
	UpdateAges(now time.Time, updates []informer.Update) []informer.WeightsAge
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Source Source
	// Interval is the time between two messages without a change.
	Interval time.Duration
	Log      *logrus.Entry
}

// Server sends the replicas of this VM to subscribers.
type Server struct {
	cfg ServerConfig
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// ServeHTTP serves the subscription of one VM until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the error response
	}
	defer func() { _ = ws.CloseNow() }()
	var subscription Subscription
	if err := messenger.ReadValue(r.Context(), ws, &subscription); err != nil {
		return // the subscriber has closed the connection
	}
	if err := subscription.Check(); err != nil {
		s.cfg.Log.WithError(err).WithField("event", "subscription_refused").Warn("subscription of VM rejected")
		return
	}
	ctx := ws.CloseRead(r.Context())
	s.send(ctx, ws, subscription)
}

// send sends the changes of the replicas until the connection ends.
func (s *Server) send(ctx context.Context, ws *websocket.Conn, subscription Subscription) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	versions := informer.JoinVersions(subscription.Revisions, subscription.Eras)
	var position informer.Position
	for {
		changed := s.cfg.Source.Changed()
		now, news := time.Now(), News{}
		news.Updates, position = s.cfg.Source.Updates(now, position, versions)
		news.WeightsAges = s.cfg.Source.UpdateAges(now, news.Updates)
		if err := messenger.WriteValue(ctx, ws, news); err != nil {
			return
		}
		timer.Reset(coalesceInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(s.cfg.Interval - coalesceInterval)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer.C:
		}
	}
}
