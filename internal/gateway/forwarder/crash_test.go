package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// crashBound is the time after the fifth crash by one part from which on at most
	// maxLateArrivals requests with it may reach workers.
	crashBound      = 3 * time.Second
	maxFreeCrashes  = 5
	maxLateArrivals = 3
	// maxUntriedCrashes is the number of crashes after which no request is sent but on trial.
	maxUntriedCrashes = 3
	// minSoundShare is the share of the usual successes that sound requests must have from
	// twice crashBound after the fifth crash, or the last one.
	minSoundShare = 0.5
)

// crashLoad is a kind of requests at a rate.
type crashLoad struct {
	// Rate is the number of requests, or of batches, a second, FromMS the time of the first.
	Rate   float64 `json:"rate"`
	FromMS int     `json:"from_ms"`
	// Parts lists the parts of the prompts: "%" stands for the number of the request,
	// "%4" for its remainder by 4, and "%2" by 2. Target ends the path, the number of the request if it
	// is empty.
	Parts  []string `json:"parts"`
	Target string   `json:"target"`
	// Lead is the number of parts before these that all prompts share.
	Lead int `json:"lead"`
	// ReadMS is how long workers read a request that crashes them.
	ReadMS int `json:"read_ms"`
	// Batch is the number of requests that are sent at once, 1 if it is 0.
	Batch int `json:"batch"`
}

// crashRow is a load on a fleet whose workers end, under certain requests or by
// themselves.
type crashRow struct {
	Name     string    `json:"name"`
	VMs      int       `json:"vms"`
	Route    string    `json:"route"`
	Seconds  int       `json:"seconds"`
	Sound    crashLoad `json:"sound"`
	Crashing crashLoad `json:"crashing"`
	// Ends are the ends of workers that no request causes.
	Ends struct {
		FromMS  int `json:"from_ms"`
		EveryMS int `json:"every_ms"`
		Count   int `json:"count"`
		Workers int `json:"workers"`
	} `json:"ends"`
	// Text is what workers send before they crash, in a response without a length or chunks;
	// nil for one that is framed and has no event.
	Text *string `json:"text"`
	// HubOffMS is the time from which on no VM is the hub, 0 for none. HubMovesMS are the
	// times at which another becomes it.
	HubOffMS   int   `json:"hub_off_ms"`
	HubMovesMS []int `json:"hub_moves_ms"`
	// MaxQuarantined is the number of sound requests that may be refused as quarantined, any
	// if it is nil. It is 0 where no request crashes workers.
	MaxQuarantined *int `json:"max_quarantined"`
}

// soundResult is the outcome of a sound request.
type soundResult struct {
	sentAt      time.Time
	ok          bool
	quarantined bool
}

// TestRequestsThatCrashUpstreamsAreNotSentOn guards against requests that end one upstream
// after the other since each is placed as if none had been there before, and against the
// refusal of sound ones.
func TestRequestsThatCrashUpstreamsAreNotSentOn(t *testing.T) {
	t.Parallel()
	var rows []crashRow
	scripter.Read(t, "testdata/crashes.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runCrashRow(t, row) })
		})
	}
}

func runCrashRow(t *testing.T, row crashRow) {
	f := newFleet(t, row.VMs, 12)
	f.crashText, f.crashReadTime = row.Text, time.Duration(row.Crashing.ReadMS)*time.Millisecond
	time.Sleep(time.Second) // the VMs connect to the hub
	began := time.Now()
	f.setCrash([]string{"deadly", "deadly0", "deadly1"}, []string{"/" + row.Route + "/deadly"})
	var requests sync.WaitGroup
	var mu sync.Mutex
	var results []soundResult
	requests.Go(func() {
		f.sendLoad(t, row, row.Sound, func(r soundResult) {
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	})
	requests.Go(func() {
		f.sendLoad(t, row, row.Crashing, func(r soundResult) {
			if r.ok {
				t.Error("a response that broke off reached the client as complete")
			}
		})
	})
	requests.Go(func() {
		time.Sleep(time.Duration(row.Ends.FromMS) * time.Millisecond)
		for n := range row.Ends.Count {
			for i := range row.Ends.Workers {
				f.endWorker((n + i) % len(f.workers))
			}
			time.Sleep(time.Duration(row.Ends.EveryMS) * time.Millisecond)
		}
	})
	for _, ms := range row.HubMovesMS {
		time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond)))
		f.moveHub(t)
	}
	if row.HubOffMS > 0 {
		time.Sleep(time.Duration(row.HubOffMS) * time.Millisecond)
		f.stopHub()
	}
	requests.Wait()
	f.restarts.Wait()
	f.checkCrashes(t)
	f.checkSound(t, row, began, results)
}

// sendLoad sends requests to all VMs in turn and reports each outcome.
func (f *fleet) sendLoad(t *testing.T, row crashRow, load crashLoad, record func(soundResult)) {
	if load.Rate == 0 {
		return
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	end := time.Now().Add(time.Duration(row.Seconds) * time.Second)
	time.Sleep(time.Duration(load.FromMS) * time.Millisecond)
	for n := 0; time.Now().Before(end); n++ {
		r := f.request(t, row.Route, fmt.Sprintf("%v %d", load.Parts, n))
		target := load.Target
		if target == "" {
			target = fmt.Sprint(n)
		}
		r.URL.Host, r.URL.Path = f.vms[n%len(f.vms)].address, "/"+row.Route+"/"+target
		if len(load.Parts) > 0 {
			r.Header.Set("Prompt-Prefix", promptPrefix(load.allParts(), n))
		}
		requests.Go(func() {
			sentAt := time.Now()
			a := f.do(r)
			record(soundResult{
				sentAt: sentAt, ok: a.err == nil && a.status == http.StatusOK,
				quarantined: strings.Contains(a.body, "quarantined"),
			})
		})
		if (n+1)%max(load.Batch, 1) == 0 {
			time.Sleep(time.Duration(float64(time.Second) / load.Rate))
		}
	}
}

// allParts returns the parts of the prompts, those before Parts included.
func (l crashLoad) allParts() []string {
	list := make([]string, 0, l.Lead+len(l.Parts))
	for n := range l.Lead {
		list = append(list, fmt.Sprintf("lead-%d", n))
	}
	return append(list, l.Parts...)
}

// promptPrefix returns the header that names the parts of a prompt.
func promptPrefix(parts []string, n int) string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		part = strings.ReplaceAll(part, "%4", fmt.Sprint(n%4))
		part = strings.ReplaceAll(part, "%2", fmt.Sprint(n%2))
		part = strings.ReplaceAll(part, "%", fmt.Sprint(n))
		names = append(names, part+":30")
	}
	return strings.Join(names, ",")
}

// checkCrashes checks how many requests that crash workers have reached them after the
// bound.
func (f *fleet) checkCrashes(t *testing.T) {
	t.Helper()
	var crashing, late int
	for _, a := range f.arrivals {
		if !a.crashing {
			continue
		}
		crashing++
		if len(f.ends) >= maxFreeCrashes && a.at.After(f.ends[maxFreeCrashes-1].Add(crashBound)) {
			late++
		}
	}
	for _, at := range f.ends {
		t.Logf("an upstream ended %v after the first", at.Sub(f.ends[0]))
	}
	t.Logf("%d upstreams ended, %d requests that crash them arrived, %d of them late", len(f.ends), crashing, late)
	if late > maxLateArrivals {
		t.Errorf("got %d requests that crash upstreams %v after the fifth crash, want at most %d", late, crashBound, maxLateArrivals)
	}
}

// checkSound checks that sound requests are served as usual from twice crashBound after
// the fifth crash, and that none is refused as quarantined where no request crashes
// workers.
func (f *fleet) checkSound(t *testing.T, row crashRow, began time.Time, results []soundResult) {
	t.Helper()
	var all, ok, quarantined, before, beforeOK int
	// With fewer crashes the bound counts from the last one, which may be a late trial.
	settling := maxFreeCrashes
	if len(f.ends) < maxFreeCrashes {
		settling = min(len(f.ends), maxUntriedCrashes)
	}
	settledAt := f.ends[settling-1].Add(2 * crashBound)
	for _, r := range results {
		if r.quarantined {
			quarantined++
		}
		switch {
		case r.sentAt.Before(began.Add(2 * time.Second)):
			before++
			if r.ok {
				beforeOK++
			}
		case r.sentAt.After(settledAt):
			all++
			if r.ok {
				ok++
			}
		}
	}
	t.Logf("sound requests: %d of %d before, %d of %d after; %d of %d quarantined", beforeOK, before, ok, all, quarantined, len(results))
	if all == 0 {
		t.Error("no sound request was sent after the crashes")
	}
	if share := float64(beforeOK) / float64(before); float64(ok) < minSoundShare*share*float64(all) {
		t.Errorf("%d of %d sound requests are served, usually %.2f of them", ok, all, share)
	}
	if row.Crashing.Rate == 0 && quarantined > 0 || row.MaxQuarantined != nil && quarantined > *row.MaxQuarantined {
		t.Errorf("%d sound requests were refused as quarantined", quarantined)
	}
}
