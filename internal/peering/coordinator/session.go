package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// session is the connection of one VM.
type session struct {
	loads      map[string]Load
	reportedAt time.Time
	// reportNumber is the number of the last report.
	reportNumber uint64
	// nextFrame is the number of the next frame to send.
	nextFrame uint64
	// grants holds the grants to the VM that no message has carried yet.
	grants []Grant
	// quotaGrants holds the grants of quotas that no message has carried yet.
	quotaGrants []QuotaGrant
	// changed has a buffer of one, so that a slow VM blocks nobody.
	changed chan struct{}
}

// ServeHTTP serves the connection of one VM until it ends or this VM is no longer the
// hub.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.cfg.Active() {
		http.Error(w, "this VM is not the hub", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the error response
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s := h.addSession(time.Now())
	defer h.removeSession(s)
	go h.runPush(ctx, ws, s)
	for h.cfg.Active() {
		var report Report
		if err := messenger.ReadValue(ctx, ws, &report); err != nil {
			return // the VM reconnects
		}
		if err := report.Check(); err != nil {
			h.cfg.Log.WithError(err).WithField("event", "report_refused").Warn("report from VM rejected")
			return
		}
		h.mu.Lock()
		h.applyReport(time.Now(), s, report)
		h.mu.Unlock()
	}
}

// addSession adds a session that starts with the full state.
func (h *Hub) addSession(now time.Time) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &session{reportedAt: now, changed: make(chan struct{}, 1)}
	h.sessions[s] = struct{}{}
	h.signal()
	return s
}

func (h *Hub) removeSession(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.totals.replace(s.loads, nil)
	s.loads = nil
	delete(h.sessions, s)
	h.limits.RemoveVM(time.Now(), s)
	h.signal()
}

// takeHead returns the head of a message with a frame. The caller must hold the mu of the
// hub.
func (s *session) takeHead(f *frame) Head {
	head := Head{Report: f.reports[s], Grants: s.grants, Quotas: s.quotaGrants}
	s.grants, s.quotaGrants = nil, nil
	return head
}

// runPush sends the frames to a VM until its connection ends.
func (h *Hub) runPush(ctx context.Context, ws *websocket.Conn, s *session) {
	defer func() { _ = ws.CloseNow() }()
	for {
		h.mu.Lock()
		data, head, isFull, ok := h.nextMessage(s)
		h.mu.Unlock()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-s.changed:
			}
			continue
		}
		if isFull {
			if err := h.fullStates.WaitN(ctx, min(len(data), fullStateBurst)); err != nil {
				return
			}
		}
		if err := messenger.WriteSequence(ctx, ws, head, data); err != nil {
			return
		}
	}
}
