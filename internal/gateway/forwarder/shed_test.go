package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// floodRow is a flood of one organisation beside the usual load of another.
type floodRow struct {
	Name    string `json:"name"`
	Pattern string `json:"pattern"`
	Route   string `json:"route"`
	// Priorities are those of the flooding organisation and the other.
	Priorities  [2]int `json:"priorities"`
	FloodPerS   int    `json:"flood_per_s"`
	OtherPerS   int    `json:"other_per_s"`
	ObjectiveMS int    `json:"objective_ms"`
	// OtherInTime is the least share in time of the other organisation.
	OtherInTime float64 `json:"other_in_time"`
	// RefusalMS bounds the time from arrival to refusal of nine tenths of the refused.
	RefusalMS int `json:"refusal_ms"`
}

const (
	floodSeconds = 3
	serviceTime  = 60 * time.Millisecond
)

// floodTally counts the outcomes of one organisation.
type floodTally struct {
	mu                 sync.Mutex
	sent, inTime, late int
	refusedAfter       []time.Duration
}

func (c *floodTally) send(t *testing.T, f *fixture, row floodRow, id, key string) {
	r := f.request(t, row.Route, id)
	r.Header.Set("Credential", key)
	began := time.Now()
	response, err := f.client.Do(r)
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = response.Body.Read(make([]byte, 1))
	took := time.Since(began)
	_, _ = io.Copy(io.Discard, response.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		c.refusedAfter = append(c.refusedAfter, took)
	case took <= time.Duration(row.ObjectiveMS)*time.Millisecond:
		c.inTime++
	default:
		c.late++
	}
}

// TestFloodDelaysNoOther guards against an organisation whose flood takes the capacity of
// others, and against refusals that are sent long after it is known that a request
// cannot be served.
func TestFloodDelaysNoOther(t *testing.T) {
	t.Parallel()
	var rows []floodRow
	scripter.Read(t, "testdata/floods.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playFlood(t, row) })
		})
	}
}

func playFlood(t *testing.T, row floodRow) {
	is := is.New(t)
	f := newFixture(t, 2)
	c := testConfiguration()
	for i := range c.Routes {
		c.Routes[i].Timeout, c.Routes[i].TargetLatency = 3*time.Second, time.Duration(row.ObjectiveMS)*time.Millisecond
	}
	for n := range c.Organisations {
		c.Organisations[n].HasPriority, c.Organisations[n].Priority = true, row.Priorities[n]
	}
	f.directory.configure(c)
	for n, w := range f.workers {
		w.Slots, w.ResponseDelay, w.Events, w.EventInterval = 2, serviceTime, 1, time.Millisecond
		f.directory.upstreams["s"][n].Slots = 2
	}
	var flood, other floodTally
	var group sync.WaitGroup
	for ms := range floodSeconds * 1000 {
		if ms*row.FloodPerS/1000 != (ms+1)*row.FloodPerS/1000 {
			group.Go(func() { flood.send(t, f, row, fmt.Sprint("flood ", ms), "k1") })
		}
		if ms*row.OtherPerS/1000 != (ms+1)*row.OtherPerS/1000 {
			group.Go(func() { other.send(t, f, row, fmt.Sprint("other ", ms), "k2") })
		}
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	refused := slices.Concat(flood.refusedAfter, other.refusedAfter)
	slices.Sort(refused)
	is.True(len(refused) > 0) // the flood exceeds the capacity
	p90 := refused[len(refused)*9/10]
	t.Logf("%s: other: %d of %d in time, %d refused; flood: %d of %d in time, %d late, %d refused; p90 of refusals after %s", row.Name,
		other.inTime, other.sent, len(other.refusedAfter), flood.inTime, flood.sent, flood.late, len(flood.refusedAfter), p90)
	is.True(float64(other.inTime) >= row.OtherInTime*float64(other.sent))
	is.True(p90 <= time.Duration(row.RefusalMS)*time.Millisecond)
	is.True(strings.Contains(f.log.String(), `"ahead":`)) // refusals name what they were weighed against
}
