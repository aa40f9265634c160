package forwarder

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/gauger"
)

// speedSamples holds what this VM has learned of the speeds of engines.
type speedSamples struct {
	// sums are the samples since the last report to the hub.
	sums gauger.Sums
	// own is the estimate from this VM's samples alone, for the time without a hub.
	own *gauger.Gauger
}

// DrainSpeeds returns and clears the samples of the speeds of engines since the last call.
func (f *Forwarder) DrainSpeeds() []gauger.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.speeds.sums.Drain()
}

// speed returns a function that returns the speed of an engine as the hub states it, or as
// this VM has found it if there is no hub. The caller must hold f.mu while it calls either.
func (f *Forwarder) speed(now time.Time) func(*registrar.Upstream) float64 {
	f.speeds.own.Update(now)
	return func(u *registrar.Upstream) float64 {
		if factor, known := f.cfg.View.Speed(now, u.ID); known {
			return factor
		}
		return f.speeds.own.Factor(u.ID)
	}
}

// sampleSpeed records the time to the first event of the first attempt. It leaves out streams
// that were retried, withdrawn or resumed: their engine may have cached the prompt, or sends
// events that another one has generated. The caller must hold x.mu.
func (x *exchange) sampleSpeed(now time.Time) {
	sentAt, u := x.firstByteSentAt.Load(), x.choice.Upstream
	if sentAt == nil || x.attempts > 1 || x.withdrawn > 0 || x.request.ResumeAfter != "" {
		return
	}
	sample := gauger.Sample{
		Upstream:      u.ID,
		StartedMillis: max(registrar.StartMillis(u.StartedAt), 0),
		Service:       x.service,
		Observed:      x.choice.ServiceTime(now.Sub(*sentAt)),
		Expected:      x.choice.Work(),
		Count:         1,
	}
	x.speeds.sums.Add(sample)
	x.speeds.own.ObserveOne(now, sample)
}

// Classes of the speeds of engines in metrics.
const (
	slowEngine  = "slow"
	usualEngine = "usual"
	fastEngine  = "fast"
	// slowBelow and fastAbove are the bounds of the usual speed: a tenth, which is the
	// smallest change of a factor that the hub publishes.
	slowBelow = 0.9
	fastAbove = 1.1
)

// recordSpeed adds the speed of the engine of a prompt to the log line of its request, and
// counts it.
func (x *exchange) recordSpeed(fields logrus.Fields) {
	if x.route == nil || !x.route.CarriesPrompt || x.choice.Upstream == nil {
		return
	}
	fields["speed"] = math.Round(100*x.choice.Speed) / 100
	class := usualEngine
	switch {
	case x.choice.Speed < slowBelow:
		class = slowEngine
	case x.choice.Speed > fastAbove:
		class = fastEngine
	}
	x.cfg.Meter.Count(meter.EnginePrompts, class, 1)
}
