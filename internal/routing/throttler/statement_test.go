package throttler

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// TestResponsesOvertakeEachOther guards against a limit that an old response ends or raises.
func TestResponsesOvertakeEachOther(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name string `json:"name"`
		// Script lists responses in order of arrival: when the request was sent and the
		// response received, in milliseconds, and the limit, "none" or "silent".
		Script []string `json:"script"`
		// Want is the limit in the end, nil for none.
		Want *float64 `json:"want"`
	}
	scripter.Read(t, "testdata/statements.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			th := New()
			for _, step := range row.Script {
				var sent, received int
				var text string
				_, err := fmt.Sscan(step, &sent, &received, &text)
				is.NoErr(err)
				s := Statement{Stated: text != "silent", SentAt: at(sent), At: at(received)}
				if text != "none" && text != "silent" {
					s.Limited = true
					s.PerSecond, err = strconv.ParseFloat(text, 64)
					is.NoErr(err)
				}
				th.Record(at(received), modelProcess, s)
			}
			perSecond, _, limited := th.Limit(modelProcess)
			is.Equal(limited, row.Want != nil)
			if row.Want != nil {
				is.Equal(perSecond, *row.Want)
			}
		})
	}
}

func at(ms int) time.Time { return modelStart.Add(time.Duration(ms) * time.Millisecond) }

// TestRefusedClientsComeBackAtTheRateOfTheLimit guards against a thousand clients that come
// back in the same second.
func TestRefusedClientsComeBackAtTheRateOfTheLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const perSecond, window = 20.0, 5 * time.Second
	var r Returns
	refused, seconds := 0, make(map[int]int)
	for n := range 1000 {
		now := at(n)
		back, ok := r.Reserve(now, now.Add(window), perSecond)
		if !ok {
			refused++
			continue
		}
		is.True(back.After(now))
		is.True(!back.After(now.Add(window)))
		seconds[int(back.Sub(modelStart)/time.Second)]++
	}
	for _, n := range seconds {
		is.True(float64(n) <= perSecond+1)
	}
	is.True(refused > 800) // the others would come after their time
	is.True(refused < 950)
	_, ok := r.Reserve(at(0), at(5000), 0)
	is.True(!ok)
}

// TestReportsOfAnotherHub checks that the first report restores all limits at another hub, and
// that a report of demand restores one.
func TestReportsOfAnotherHub(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	th, hub := New(), NewAllocator[int]()
	th.Record(at(0), modelProcess, Statement{Stated: true, Limited: true, PerSecond: 4, SentAt: at(0), At: at(0)})
	is.Equal(len(th.Reports(false)), 1)
	is.Equal(len(th.Reports(false)), 0)
	th.Want(modelProcess)
	reports := th.Reports(false)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Wanted, 1)
	hub.AddVM(at(10), 1, "vm", false)
	hub.Record(at(10), 1, reports[0])
	is.Equal(len(hub.DrainChanges()), 1)
	grants, next := hub.Advance(at(20))
	is.Equal(len(grants), 0) // a hub without memory begins with nothing
	is.True(!next.IsZero())
	grants, _ = hub.Advance(at(300))
	is.Equal(len(grants), 1)
	th.AddGrant(at(310), grants[0].Grant, at(10))
	is.True(th.Take(at(320), modelProcess))
	is.True(!th.Take(at(320), modelProcess))
	th.AddGrant(at(330), grants[0].Grant, at(10))
	is.True(!th.MaySend(at(1600), modelProcess)) // it has expired
	is.Equal(len(th.Reports(true)), 1)
	// The end reaches the hub, which passes it on.
	th.Record(at(1700), modelProcess, Statement{Stated: true, SentAt: at(1650), At: at(1700)})
	for _, r := range th.Reports(false) {
		hub.Record(at(1710), 1, r)
	}
	changes := hub.DrainChanges()
	is.Equal(len(changes), 1)
	is.True(!changes[0].Limited)
	is.True(th.Empty())
	// Another VM has not learned of the end yet.
	hub.Record(at(1720), 2, reports[0])
	is.Equal(len(hub.DrainChanges()), 0)
	is.Equal(len(hub.Limits()), 0)
}
