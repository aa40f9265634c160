package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/testing/windower"
)

const (
	// minServedShare is the least share of what is usually served, where other upstreams can
	// take the requests, and of the limits otherwise.
	minServedShare = 0.7
	// minBackShare is the least part of its usual requests that an upstream gets after the
	// end of its limit.
	minBackShare = 0.5
	// maxRefusalTime is the longest time until a request that cannot be sent is refused.
	maxRefusalTime = 100 * time.Millisecond
)

// limitRow is a load on a fleet whose workers state limits.
type limitRow struct {
	Name    string `json:"name"`
	VMs     int    `json:"vms"`
	Workers int    `json:"workers"`
	// Limited is the number of workers that state a limit.
	Limited int       `json:"limited"`
	Route   string    `json:"route"`
	Load    crashLoad `json:"load"`
	// LoadVMs is the number of VMs that get the load, all if it is 0.
	LoadVMs int `json:"load_vms"`
	// Steps are the values of the header from the given times on, empty for none.
	Steps []struct {
		MS    int    `json:"ms"`
		Value string `json:"value"`
	} `json:"steps"`
	Seconds int `json:"seconds"`
	// HubOffMS and HubMovesMS are as in crashRow.
	HubOffMS   int   `json:"hub_off_ms"`
	HubMovesMS []int `json:"hub_moves_ms"`
	// RestartsMS are the times at which a VM is replaced by one without memory.
	RestartsMS []int `json:"restarts_ms"`
	// EndsMS is the time at which the process of the first worker ends, so that another
	// starts at its address, 0 for never.
	EndsMS int `json:"ends_ms"`
	// BackMS is the time from which on the first worker gets as many requests as others, 0
	// for no check.
	BackMS int `json:"back_ms"`
	// MinServed is the least number of requests served a second while the limit holds, 0 for
	// as many as without it.
	MinServed float64 `json:"min_served"`
}

// limitResult is the outcome of a request under a limit.
type limitResult struct {
	vm         int
	sentAt     time.Time
	receivedAt time.Time
	// worker is the ID of the worker that stated a limit in the response, empty for none.
	worker     string
	status     int
	retryAfter string
}

// TestLimitsOfUpstreamsAreKeptByAllVMs guards against VMs that send an upstream in need as
// many requests as before, or each of them as many as it takes from all together.
func TestLimitsOfUpstreamsAreKeptByAllVMs(t *testing.T) {
	t.Parallel()
	var rows []limitRow
	scripter.Read(t, "testdata/limits.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runLimitRow(t, row) })
		})
	}
}

func runLimitRow(t *testing.T, row limitRow) {
	f := newFleet(t, row.VMs, row.Workers)
	time.Sleep(time.Second) // the VMs connect to the hub
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	var requests sync.WaitGroup
	var mu sync.Mutex
	var results []limitResult
	requests.Go(func() {
		f.sendLimitLoad(t, row, func(r limitResult) {
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	})
	requests.Go(func() {
		for _, step := range row.Steps {
			time.Sleep(time.Until(at(step.MS)))
			for n := range row.Limited {
				f.workers[n].SetLimit(step.Value)
			}
		}
	})
	requests.Go(func() {
		for n, ms := range row.RestartsMS {
			time.Sleep(time.Until(at(ms)))
			f.restartVM(t, n%row.VMs)
		}
	})
	requests.Go(func() {
		if row.EndsMS > 0 {
			time.Sleep(time.Until(at(row.EndsMS)))
			f.endWorker(0)
		}
	})
	for _, ms := range row.HubMovesMS {
		time.Sleep(time.Until(at(ms)))
		f.moveHub(t)
	}
	if row.HubOffMS > 0 {
		time.Sleep(time.Until(at(row.HubOffMS)))
		f.stopHub()
	}
	requests.Wait()
	f.restarts.Wait()
	f.checkLimits(t, row, began, results)
	f.checkBack(t, row, at(row.BackMS))
	checkServed(t, row, began, results)
}

// sendLimitLoad sends the requests of a row to its VMs in turn and reports each outcome.
func (f *fleet) sendLimitLoad(t *testing.T, row limitRow, record func(limitResult)) {
	var requests sync.WaitGroup
	defer requests.Wait()
	vms := row.loadVMs()
	end := time.Now().Add(time.Duration(row.Seconds) * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		r := f.request(t, row.Route, strconv.Itoa(n))
		r.URL.Host, r.URL.Path = vmAddress(n%vms), fmt.Sprintf("/%s/%d", row.Route, n)
		if len(row.Load.Parts) > 0 {
			r.Header.Set("Prompt-Prefix", promptPrefix(row.Load.Parts, n))
		}
		requests.Go(func() {
			result := limitResult{vm: n % vms, sentAt: time.Now()}
			a := f.do(r)
			result.receivedAt, result.status = time.Now(), a.status
			if a.err == nil {
				result.retryAfter = a.header.Get("Retry-After")
			}
			if a.err == nil && a.header.Get("Server-Limit") != "" {
				result.worker = a.header.Get("Server-Signature")[len("sig.")+len(strconv.Itoa(n))+1:]
			}
			record(result)
		})
		time.Sleep(time.Duration(float64(time.Second) / row.Load.Rate))
	}
}

// loadVMs returns the number of VMs that get the load.
func (row limitRow) loadVMs() int {
	if row.LoadVMs > 0 {
		return row.LoadVMs
	}
	return row.VMs
}

// toldTimes returns when each VM has first passed on a statement of a worker, and when the
// first of them has.
func toldTimes(worker int, results []limitResult) (told map[int]time.Time, first time.Time) {
	told = make(map[int]time.Time)
	for _, r := range results {
		if r.worker != fmt.Sprintf("w%d.1", worker+1) {
			continue
		}
		if at, ok := told[r.vm]; !ok || r.receivedAt.Before(at) {
			told[r.vm] = r.receivedAt
		}
		if first.IsZero() || r.receivedAt.Before(first) {
			first = r.receivedAt
		}
	}
	return told, first
}

// checkLimits counts the requests at each limited worker from VMs that have passed its
// statement on.
func (f *fleet) checkLimits(t *testing.T, row limitRow, began time.Time, results []limitResult) {
	t.Helper()
	for worker := range row.Limited {
		told, first := toldTimes(worker, results)
		if first.IsZero() {
			t.Errorf("worker %d has stated no limit", worker)
			continue
		}
		f.checkLimit(t, row, worker, began, first, f.countedArrivals(row, worker, began, told))
	}
}

// countedArrivals returns when a worker got requests from VMs that had passed its statement
// on windower.CountsAfter before.
func (f *fleet) countedArrivals(row limitRow, worker int, began time.Time, told map[int]time.Time) []time.Time {
	endsAt := began.Add(time.Duration(row.EndsMS) * time.Millisecond)
	var counted []time.Time
	for _, a := range f.arrivals {
		number, err := strconv.Atoi(a.id)
		if a.worker != worker || err != nil || row.EndsMS > 0 && worker == 0 && a.at.After(endsAt) {
			continue
		}
		if at, ok := told[number%row.loadVMs()]; ok && !a.at.Before(at.Add(windower.CountsAfter)) {
			counted = append(counted, a.at)
		}
	}
	return counted
}

// checkLimit compares the requests at a worker in each window with what its limit allows.
func (f *fleet) checkLimit(t *testing.T, row limitRow, worker int, began, first time.Time, counted []time.Time) {
	t.Helper()
	var worst float64
	var window windower.Window
	for _, at := range counted {
		n := window.Add(at)
		allowed, limited := row.allowed(began, window.Start(), at)
		if !limited || !at.After(first.Add(windower.Settling)) {
			continue
		}
		if worst = max(worst, float64(n)/allowed); worst > 1 {
			t.Errorf("worker %d got %d requests in %v until %v, want at most %.1f", worker, n, windower.Length, at.Sub(began), allowed)
			break
		}
	}
	t.Logf("worker %d got at most %.2f of what its limit allows", worker, worst)
}

// allowed returns the number of requests that the highest limit between two times allows
// in a window, false if there was none for a part of that time.
func (row limitRow) allowed(began, from, to time.Time) (float64, bool) {
	highest, known := 0.0, false
	for i, step := range row.Steps {
		since := began.Add(time.Duration(step.MS) * time.Millisecond)
		if i == 0 {
			since = time.Time{} // what came before is not counted
		}
		until := to.Add(time.Second)
		if i+1 < len(row.Steps) {
			until = began.Add(time.Duration(row.Steps[i+1].MS) * time.Millisecond)
		}
		if !until.After(from) || since.After(to) {
			continue
		}
		perSecond, err := strconv.ParseFloat(step.Value, 64)
		if err != nil {
			return 0, false
		}
		highest, known = max(highest, perSecond), true
	}
	return windower.Allowed(highest), known
}

// checkBack checks that the first worker gets its usual part of the requests again.
func (f *fleet) checkBack(t *testing.T, row limitRow, from time.Time) {
	t.Helper()
	if row.BackMS == 0 {
		return
	}
	got, all := 0, 0
	for _, a := range f.arrivals {
		if a.at.Before(from) {
			continue
		}
		all++
		if a.worker == 0 {
			got++
		}
	}
	usual := float64(all) / float64(row.Workers)
	t.Logf("worker 0 got %d of %d requests after the end of its limit", got, all)
	if float64(got) < minBackShare*usual {
		t.Errorf("worker 0 got %d requests after the end of its limit, want at least %.2f of %.1f", got, minBackShare, usual)
	}
}

// checkServed checks how many requests are served while the limits hold, and that the others
// are refused at once.
func checkServed(t *testing.T, row limitRow, began time.Time, results []limitResult) {
	t.Helper()
	from := began.Add(time.Duration(row.Steps[0].MS)*time.Millisecond + windower.Settling)
	until := began.Add(time.Duration(row.Seconds) * time.Second)
	if n := len(row.Steps); n > 1 {
		until = began.Add(time.Duration(row.Steps[n-1].MS) * time.Millisecond)
	}
	served, late := 0, 0
	for _, r := range results {
		if r.sentAt.Before(from) || !r.sentAt.Before(until) {
			continue
		}
		switch {
		case r.status == http.StatusOK:
			served++
		case r.receivedAt.Sub(r.sentAt) > maxRefusalTime:
			late++
		}
	}
	want := row.MinServed
	if want == 0 {
		want = row.Load.Rate
	}
	rate := float64(served) / until.Sub(from).Seconds()
	t.Logf("%.1f requests a second served, %d refusals after %v", rate, late, maxRefusalTime)
	if rate < minServedShare*want {
		t.Errorf("%.1f requests a second are served, want at least %.2f of %.1f", rate, minServedShare, want)
	}
	if late > 0 {
		t.Errorf("%d requests were refused later than after %v", late, maxRefusalTime)
	}
}
