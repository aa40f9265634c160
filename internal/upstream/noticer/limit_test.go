package noticer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/testing/windower"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

const (
	// answerTime is the time between a request and its response.
	answerTime = 50 * time.Millisecond
	// limitRun is the time for which requests press.
	limitRun = 30 * time.Second
)

// routerLimitRow is a load on routers in front of one upstream with a limit.
type routerLimitRow struct {
	Name      string `json:"name"`
	Routers   int    `json:"routers"`
	PerSecond string `json:"per_second"`
	// Rate is the number of requests a second at each of Active routers, all if it is 0.
	Rate   float64 `json:"rate"`
	Active int     `json:"active"`
	// Unnamed is true if routers know only how many there are.
	Unnamed bool `json:"unnamed"`
	// MinShare is the least share of the limit that is used.
	MinShare float64 `json:"min_share"`
}

// TestLimitsOfUpstreamsAreKeptByAllRouters guards against routers each of which sends an
// upstream as many requests as it takes from all together. They have no hub.
func TestLimitsOfUpstreamsAreKeptByAllRouters(t *testing.T) {
	t.Parallel()
	var rows []routerLimitRow
	scripter.Read(t, "testdata/limits.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRouterLimitRow(t, row) })
		})
	}
}

func runRouterLimitRow(t *testing.T, row routerLimitRow) {
	target := caller.Target{Name: "engine", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	routers := newRouters(row, target)
	perSecond, err := strconv.ParseFloat(row.PerSecond, 64)
	if err != nil {
		t.Fatal(err)
	}
	header := http.Header{encoder.HeaderLimit: {row.PerSecond}}
	var arrivals []time.Time // those that count
	sent := 0
	var mu sync.Mutex // guards told
	told := make([]time.Time, row.Routers)
	began := time.Now()
	active := row.Routers
	if row.Active > 0 {
		active = row.Active
	}
	for n := 0; time.Since(began) < limitRun; n++ {
		p := routers[n%active]
		if p.IsOpen(target.Name) && p.Admit(target, caller.Call{}) == nil {
			sentAt := time.Now()
			sent++
			router := n % active
			mu.Lock()
			if at := told[router]; !at.IsZero() && !sentAt.Before(at.Add(windower.CountsAfter)) {
				arrivals = append(arrivals, sentAt)
			}
			mu.Unlock()
			time.AfterFunc(answerTime, func() {
				p.Record(target, sentAt, http.StatusOK, header, true)
				mu.Lock()
				defer mu.Unlock()
				if told[router].IsZero() {
					told[router] = time.Now()
				}
			})
		}
		time.Sleep(time.Duration(float64(time.Second) / (row.Rate * float64(active))))
	}
	var window windower.Window
	for _, at := range arrivals {
		n, allowed := window.Add(at), windower.Allowed(perSecond)
		if at.After(began.Add(windower.Settling)) && float64(n) > allowed {
			t.Fatalf("got %d requests in %v until %v, want at most %.1f", n, windower.Length, at.Sub(began), allowed)
		}
	}
	used := float64(sent) / limitRun.Seconds()
	t.Logf("%.2f requests a second of %s", used, row.PerSecond)
	if want := min(perSecond, row.Rate*float64(active)); used < row.MinShare*want {
		t.Errorf("%.2f requests a second are sent, want at least %.2f of %.2f", used, row.MinShare, want)
	}
	if routers[0].Admit(target, caller.Call{Running: true}) != nil {
		t.Error("a call about a running request is withheld because of the limit")
	}
}

func newRouters(row routerLimitRow, target caller.Target) []*noticer.Processes {
	log := logrus.New()
	log.SetOutput(io.Discard)
	nodes := make([]string, 0, row.Routers)
	for n := range row.Routers {
		nodes = append(nodes, fmt.Sprint("vm", n))
	}
	routers := make([]*noticer.Processes, 0, row.Routers)
	for _, node := range nodes {
		p := noticer.NewProcesses(noticer.ProcessesConfig{Noticer: noticer.New(noticer.Config{
			Bounds: withholder.Config{Drain: time.Second, MaxHoldOff: time.Minute},
			Meter:  meter.New(),
			Log:    logrus.NewEntry(log),
		})})
		p.SetUpstreams([]checker.Upstream{{Name: target.Name, Address: target.Address}})
		p.SetFleet(throttler.NewFleet(node, nodes))
		if row.Unnamed {
			p.SetFleet(throttler.NewUnnamedFleet(node, row.Routers))
		}
		routers = append(routers, p)
	}
	return routers
}
