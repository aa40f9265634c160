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
	// latency is the delay of each message.
	latency = 50 * time.Millisecond
	// settleTime is the time before requests are counted, in which the shares adapt
	// to the demand.
	settleTime = 20 * time.Second
	countTime  = 30 * time.Second
)

// limitTest describes a fleet of three VMs and the expected admitted rate.
type limitTest struct {
	Name string
	// Limit is the limit of the organisation, in requests per second.
	Limit float64
	// Demand is the offered load of each router, in requests per second.
	Demand []int
	// Cut is true if all messages are lost. Alone is true if the controllers do not
	// know each other.
	Cut, Alone bool
	// Min and Max bound the admitted rate, as multiples of the limit.
	Min, Max float64
}

// vm holds the rationer of a router and the collector of its controller.
type vm struct {
	rationer  *rationer.Rationer
	collector *collector.Collector
}

// fleet connects VMs by messages that arrive after the latency.
type fleet struct {
	test limitTest
	vms  map[string]*vm
}

// deliver encodes and decodes m, and calls receive with the result after the
// latency.
func (f *fleet) deliver(m messenger.Message, receive func(messenger.Message)) bool {
	if f.test.Cut {
		return true
	}
	data, err := messenger.Encode(m)
	if err != nil {
		panic(err)
	}
	decoded, err := messenger.Decode(data)
	if err != nil {
		panic(err)
	}
	time.AfterFunc(latency, func() { receive(decoded) })
	return true
}

func newFleet(tt limitTest) *fleet {
	f := &fleet{test: tt, vms: make(map[string]*vm)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	names := make([]string, 0, len(tt.Demand))
	for i := range tt.Demand {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	for _, name := range names {
		v := &vm{}
		v.collector = collector.New(collector.Config{
			Self: name,
			SendPeer: func(node string, m messenger.Message) bool {
				return f.deliver(m, func(m messenger.Message) {
					f.vms[node].collector.HandlePeerUsage(time.Now(), m.UsageReport.Usages, func(m messenger.Message) bool {
						return f.deliver(m, func(m messenger.Message) { v.collector.ForwardSums(*m.UsageTotals) })
					})
				})
			},
			SendRouter: func(_ string, m messenger.Message) bool {
				return f.deliver(m, func(m messenger.Message) { v.rationer.ObserveUsage(*m.UsageTotals) })
			},
		})
		v.rationer = rationer.New(rationer.Config{
			Node:    name,
			Routers: len(names),
			Send: func(m messenger.Message) bool {
				return f.deliver(m, func(m messenger.Message) { v.collector.HandleRouterUsage(time.Now(), name, m.UsageReport.Usages) })
			},
			Log: logrus.NewEntry(log),
		})
		v.rationer.SetBundle(&checker.Bundle{Organisations: []checker.Organisation{{Name: organisation, RequestsPerSecond: tt.Limit}}})
		if !tt.Alone {
			v.collector.SetMembers(names)
		}
		f.vms[name] = v
	}
	return f
}

// loadGenerator sends requests to one router at a constant rate.
type loadGenerator struct {
	rationer *rationer.Rationer
	rate     int
	// admitted is the number of admitted requests after settleTime.
	admitted int
	// invalid is the last refusal of the wrong kind or without a later retry time.
	invalid error
}

func (l *loadGenerator) run(ctx context.Context, done chan<- *loadGenerator) {
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
			l.sendRequest(now, now.After(countFrom))
		case <-ctx.Done():
			return
		}
	}
}

// sendRequest sends a request and checks the error if it is refused.
func (l *loadGenerator) sendRequest(now time.Time, count bool) {
	err := l.rationer.Allow(organisation)
	if err == nil && count {
		l.admitted++
	}
	var refusal *classifier.Error
	if err != nil && (!errors.As(err, &refusal) || refusal.Kind != classifier.RateLimited || !refusal.RetryAt.After(now)) {
		l.invalid = err
	}
}

// TestFleetLimit checks that the routers of a fleet together admit requests up to
// the limit of an organisation, and not far above it if messages are lost.
func TestFleetLimit(t *testing.T) {
	t.Parallel()
	var tests []limitTest
	scripter.Read(t, "testdata/fleets.json", &tests)
	for _, tt := range tests {
		t.Run(tt.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runLimitTest(t, tt) })
		})
	}
}

func runLimitTest(t *testing.T, tt limitTest) {
	is := is.New(t)
	f := newFleet(tt)
	ctx, cancel := context.WithTimeout(t.Context(), settleTime+countTime)
	defer cancel()
	done := make(chan *loadGenerator, len(tt.Demand))
	for i, rate := range tt.Demand {
		v := f.vms[fmt.Sprintf("vm-%d", i)]
		go v.rationer.Run(ctx)
		go (&loadGenerator{rationer: v.rationer, rate: rate}).run(ctx, done)
	}
	admitted := 0
	for range tt.Demand {
		l := <-done
		is.NoErr(l.invalid) // every refusal is of kind rate_limited with a later retry time
		admitted += l.admitted
	}
	<-ctx.Done()
	<-time.After(time.Second)
	factor := float64(admitted) / countTime.Seconds() / tt.Limit
	t.Logf("admitted rate is %.2f times the limit", factor)
	is.True(factor >= tt.Min) // lower bound of the admitted rate
	is.True(factor <= tt.Max) // upper bound of the admitted rate
}
