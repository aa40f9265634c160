package registrar_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type step struct {
	Put      string   `json:"put"`
	Leaving  bool     `json:"leaving"`
	Started  int64    `json:"started"`
	Remove   string   `json:"remove"`
	Replace  []string `json:"replace"`
	Returned bool     `json:"returned"`
	WaitMS   int      `json:"wait_ms"`
	// Usable is what is expected then, with all news so far.
	Usable []string          `json:"usable"`
	News   []registrar.Event `json:"news"`
}

func entry(s step, id string) *registrar.Upstream {
	return &registrar.Upstream{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Leaving: s.Leaving, StartedAt: time.UnixMilli(s.Started),
	}
}

func TestEntries(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/entries.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			play(t, row.Steps)
		})
	}
}

func play(t *testing.T, steps []step) {
	is := is.New(t)
	r := registrar.New()
	now := time.Unix(1_700_000_000, 0)
	events := []registrar.Event{}
	for _, s := range steps {
		var news []registrar.News
		switch {
		case s.Put != "":
			news = r.Put(entry(s, s.Put))
		case s.Remove != "":
			news = r.Remove(now, s.Remove)
		case s.Replace != nil:
			for _, u := range r.All() {
				if !slices.Contains(s.Replace, u.ID) {
					news = append(news, r.Remove(now, u.ID)...)
				}
			}
		case s.Returned:
			r.StoreReturned(now)
		case s.WaitMS > 0:
			now = now.Add(time.Duration(s.WaitMS) * time.Millisecond)
			news = r.Expire(now)
		}
		for _, n := range news {
			events = append(events, n.Event)
		}
		if s.Usable == nil {
			continue
		}
		usable := r.Usable("s")
		ids := make([]string, 0, len(usable))
		for _, u := range usable {
			ids = append(ids, u.ID)
		}
		is.Equal(ids, s.Usable)
		if s.News != nil {
			is.Equal(events, s.News)
		}
	}
}
