package rationer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/controlling/collector"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/serving/rationer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	organisation = "cyngor"
	latency      = 50 * time.Millisecond
	// settleTime is the time before requests are counted.
	settleTime = 20 * time.Second
	countTime  = 30 * time.Second
)

// row is a fleet of three VMs with the demand at each router a second.
type row struct {
	Name   string
	Limit  float64
	Demand []int
	// Cut is true where no message arrives, Alone where controllers do not
	// know each other.
	Cut, Alone bool
	// Min and Max bound what is admitted, in multiples of the limit.
	Min, Max float64
}

// vm is one router and its controller.
type vm struct {
	ration  *rationer.Rationer
	collect *collector.Collector
}

// fleet joins VMs by slow messages.
type fleet struct {
	row row
	vms map[string]*vm
}

// later delivers after the latency, through the wire form.
func (f *fleet) later(m messenger.Message, take func(messenger.Message)) bool {
	if f.row.Cut {
		return true
	}
	data, err := messenger.Encode(m)
	if err != nil {
		panic(err)
	}
	got, err := messenger.Decode(data)
	if err != nil {
		panic(err)
	}
	time.AfterFunc(latency, func() { take(got) })
	return true
}

func newFleet(r row) *fleet {
	f := &fleet{row: r, vms: make(map[string]*vm)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	names := make([]string, 0, len(r.Demand))
	for i := range r.Demand {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	for _, name := range names {
		v := &vm{}
		v.collect = collector.New(collector.Config{
			Self: name,
			SendPeer: func(node string, m messenger.Message) bool {
				return f.later(m, func(m messenger.Message) {
					f.vms[node].collect.FromPeer(time.Now(), m.Uses.Uses, func(m messenger.Message) bool {
						return f.later(m, func(m messenger.Message) { v.collect.Answer(*m.UseSums) })
					})
				})
			},
			SendRouter: func(_ string, m messenger.Message) bool {
				return f.later(m, func(m messenger.Message) { v.ration.Sums(*m.UseSums) })
			},
		})
		v.ration = rationer.New(rationer.Config{
			Node:    name,
			Routers: len(names),
			Send: func(m messenger.Message) bool {
				return f.later(m, func(m messenger.Message) { v.collect.FromRouter(time.Now(), name, m.Uses.Uses) })
			},
			Log: logrus.NewEntry(log),
		})
		v.ration.Bundle(&checker.Bundle{Organisations: []checker.Organisation{{Name: organisation, RequestsPerSecond: r.Limit}}})
		if !r.Alone {
			v.collect.SetMembers(names)
		}
		f.vms[name] = v
	}
	return f
}

// load sends requests evenly to one router and counts those admitted.
type load struct {
	ration   *rationer.Rationer
	rate     int
	admitted int
	fault    error
}

func (l *load) run(ctx context.Context, done chan<- *load) {
	defer func() { done <- l }()
	if l.rate == 0 {
		return
	}
	countFrom := time.Now().Add(settleTime)
	ticker := time.NewTicker(time.Second / time.Duration(l.rate))
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.ask(now, now.After(countFrom))
		case <-ctx.Done():
			return
		}
	}
}

// ask sends one request; a refusal must name its kind and a later moment.
func (l *load) ask(now time.Time, counts bool) {
	err := l.ration.Allow(organisation)
	if err == nil && counts {
		l.admitted++
	}
	var refusal *classifier.Error
	if err != nil && (!errors.As(err, &refusal) || refusal.Kind != classifier.RateLimited || !refusal.RetryAt.After(now)) {
		l.fault = err
	}
}

func TestLimitHoldsOverTheFleet(t *testing.T) {
	t.Parallel()
	var rows []row
	scripter.Read(t, "testdata/fleets.json", &rows)
	for _, r := range rows {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { play(t, r) })
		})
	}
}

func play(t *testing.T, r row) {
	is := is.New(t)
	f := newFleet(r)
	ctx, cancel := context.WithTimeout(t.Context(), settleTime+countTime)
	defer cancel()
	done := make(chan *load, len(r.Demand))
	for i, rate := range r.Demand {
		v := f.vms[fmt.Sprintf("vm-%d", i)]
		go v.ration.Run(ctx)
		go (&load{ration: v.ration, rate: rate}).run(ctx, done)
	}
	admitted := 0
	for range r.Demand {
		l := <-done
		is.NoErr(l.fault) // every refusal is rate_limited and says when to come back
		admitted += l.admitted
	}
	<-ctx.Done()
	<-time.After(time.Second)
	factor := float64(admitted) / countTime.Seconds() / r.Limit
	t.Logf("%.2f of the limit", factor)
	is.True(factor >= r.Min) // useful part of the limit
	is.True(factor <= r.Max) // above the limit
}
