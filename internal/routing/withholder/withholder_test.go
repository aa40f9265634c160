package withholder_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// step is a notice in a response to a request to an upstream, or the expected
// access to it.
type step struct {
	AtMS int `json:"at_ms"`
	// ID, Host and StartedMS identify the upstream. Host is the last byte of its
	// address, StartedMS the start time after the start of the test; 0 if unknown.
	ID        string `json:"id"`
	Host      byte   `json:"host"`
	StartedMS int64  `json:"started_ms"`
	// Told is true if the step is a response.
	Told bool `json:"told"`
	// Checked is true if the step is a response to a check of the upstream.
	Checked bool `json:"checked"`
	// Unverified is whether a check of the upstream is expected, nil for either.
	Unverified *bool `json:"unverified"`
	// Heard is true if another VM states that the upstream is leaving.
	Heard     bool   `json:"heard"`
	Instance  string `json:"instance"`
	Leaving   bool   `json:"leaving"`
	HoldOffMS int    `json:"hold_off_ms"`
	Accepted  bool   `json:"accepted"`
	// Misdirected is true if the response says that it is not of the upstream.
	Misdirected bool `json:"misdirected"`
	// AgoMS is how long before the response its request was sent.
	AgoMS int `json:"ago_ms"`
	// Changes lists the expected changes and their ends.
	Changes []change `json:"changes"`
	// Access is the expected access: open, last_resort, paced, held or closed.
	Access string `json:"access"`
	// Sends is the number of requests that are sent, Admitted that of those
	// expected to be admitted.
	Sends      int  `json:"sends"`
	LastResort bool `json:"last_resort"`
	Admitted   int  `json:"admitted"`
}

type change struct {
	Type    withholder.ChangeType `json:"type"`
	UntilMS int                   `json:"until_ms"`
}

var accessNames = map[withholder.Access]string{
	withholder.Open: "open", withholder.LastResort: "last_resort", withholder.Paced: "paced", withholder.Held: "held", withholder.Closed: "closed",
}

func TestNotices(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/notices.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			w := withholder.New(withholder.Config{Drain: 2500 * time.Millisecond, MaxHoldOff: time.Minute})
			for n, s := range row.Steps {
				runStep(t, w, n, s)
			}
		})
	}
}

func runStep(t *testing.T, w *withholder.Withholder, n int, s step) {
	start := time.Unix(1_700_000_000, 0)
	now := start.Add(time.Duration(s.AtMS) * time.Millisecond)
	u := &registrar.Upstream{ID: s.ID, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, s.Host}), 80)}
	if s.StartedMS > 0 {
		u.StartedAt = start.Add(time.Duration(s.StartedMS) * time.Millisecond)
	}
	checkChanges(is.New(t), w, now, u, s, start)
	admitted := 0
	for range s.Sends {
		if w.Admit(now, u, s.LastResort) {
			admitted++
		}
	}
	if admitted != s.Admitted {
		t.Errorf("step %d: admitted %d requests, want %d", n, admitted, s.Admitted)
	}
	if got := w.Unverified(now, u); s.Unverified != nil && got != *s.Unverified {
		t.Errorf("step %d: got unverified %t, want %t", n, got, *s.Unverified)
	}
	if got := accessNames[w.Access(now, u)]; s.Access != "" && got != s.Access {
		t.Errorf("step %d: got access %s, want %s", n, got, s.Access)
	}
}

// checkChanges applies the notice of a step and compares the resulting changes.
func checkChanges(is *is.I, w *withholder.Withholder, now time.Time, u *registrar.Upstream, s step, start time.Time) {
	is.Helper()
	var recorded []withholder.Change
	notice := withholder.Notice{Instance: s.Instance, Leaving: s.Leaving, HoldOff: time.Duration(s.HoldOffMS) * time.Millisecond, Accepted: s.Accepted, Misdirected: s.Misdirected, SentAt: now.Add(-time.Duration(s.AgoMS) * time.Millisecond)}
	switch {
	case s.Told:
		recorded = w.Record(now, u, notice)
	case s.Checked:
		recorded = w.RecordCheck(now, u, notice)
	case s.Heard:
		recorded = w.RecordDeparture(now, withholder.Incarnation{ID: u.ID, Address: u.Address, StartedAt: u.StartedAt})
	default:
		return
	}
	changes := make([]change, 0, len(recorded))
	for _, c := range recorded {
		until := 0
		if !c.Until.IsZero() {
			until = int(c.Until.Sub(start).Milliseconds())
		}
		changes = append(changes, change{c.Type, until})
	}
	is.Equal(changes, append([]change{}, s.Changes...))
}

// TestNoticesAreBounded records notices of more upstreams than are kept. The
// oldest are dropped.
func TestNoticesAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := withholder.New(withholder.Config{Drain: time.Second, MaxHoldOff: time.Minute})
	now := time.Unix(1_700_000_000, 0)
	upstream := func(n int) *registrar.Upstream {
		return &registrar.Upstream{ID: "u" + time.Duration(n).String(), Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: now}
	}
	const notices = 4196
	for n := range notices {
		w.Record(now.Add(time.Duration(n)*time.Millisecond), upstream(n), withholder.Notice{Leaving: true})
	}
	closed := 0
	for n := range notices {
		if w.Access(now.Add(time.Hour), upstream(n)) == withholder.Closed {
			closed++
		}
	}
	is.Equal(closed, 4096)
	is.Equal(w.Access(now.Add(time.Hour), upstream(0)), withholder.Open)
	is.Equal(w.Access(now.Add(time.Hour), upstream(notices-1)), withholder.Closed)
}

// TestNoticeUnderOutdatedEntryIsKept records a notice while the store shows an
// earlier process of the same ID. It must apply to the process that has sent it.
func TestNoticeUnderOutdatedEntryIsKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := withholder.New(withholder.Config{Drain: time.Second, MaxHoldOff: time.Minute})
	now := time.Unix(1_700_000_000, 0)
	outdated := &registrar.Upstream{ID: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: now.Add(-2 * time.Hour)}
	w.Record(now, outdated, withholder.Notice{Leaving: true})
	current := *outdated
	current.StartedAt = now.Add(-time.Hour)
	is.Equal(w.Access(now.Add(time.Minute), &current), withholder.Closed)
}
