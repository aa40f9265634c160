package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

type script struct {
	Name         string
	Slots        int
	QueueLength  int              `json:"queue_length"`
	DemandWindow checker.Duration `json:"demand_window"`
	Steps        []step
}

type step struct {
	At           checker.Duration
	Do           string
	ID           string
	Organisation string
	Batch        bool
	Deadline     checker.Duration
	Slots        int
	Want         Outcome
	Kind         classifier.Kind
	Admitted     []string
	Refused      []string
}

func TestScripts(t *testing.T) {
	t.Parallel()
	for _, s := range readRows[script](t, "testdata/scripts.json") {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			runScript(t, s)
		})
	}
}

func runScript(t *testing.T, s script) {
	is := is.New(t)
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	if s.QueueLength == 0 {
		s.QueueLength = 10
	}
	a := New(Config{Slots: s.Slots, Policy: checker.AdmissionPolicy{
		QueueLength:  s.QueueLength,
		MaxWait:      checker.Duration(10 * time.Second),
		BatchMaxWait: checker.Duration(time.Minute),
		BatchShare:   0.5,
		DemandWindow: s.DemandWindow,
	}})
	for _, step := range s.Steps {
		now := start.Add(step.At.Std())
		var e Effects
		switch step.Do {
		case "arrive":
			d := a.Arrive(now, request(start, step))
			is.Equal(d.Outcome, step.Want) // outcome of the arrival
			e.Refused = d.Displaced
			if d.Err != nil {
				is.Equal(d.Err.Kind, step.Kind)                                       // error kind of the refusal
				is.True(d.Err.RetryAt.After(now) || step.Kind == classifier.Internal) // retry time is in the future
			}
		case "finish":
			e = a.Finish(now, step.ID)
		case "cancel":
			is.True(a.Cancel(now, step.ID)) // the request was waiting
		case "expire":
			e = a.Expire(now)
		case "slots":
			e = a.SetCapacity(now, step.Slots)
		}
		is.Equal(e.Admitted, step.Admitted)         // IDs of the admitted requests
		is.Equal(len(e.Refused), len(step.Refused)) // number of refused requests
		for i, r := range e.Refused {
			is.Equal(r.ID, step.Refused[i])   // ID of the refused request
			is.Equal(r.Err.Kind, step.Kind)   // error kind of the refusal
			is.True(r.Err.RetryAt.After(now)) // retry time is in the future
		}
	}
}

func request(start time.Time, s step) Request {
	r := Request{ID: s.ID, Organisation: "tiles", Weight: 1, Cost: 100}
	if s.Organisation != "" {
		r.Organisation = s.Organisation
	}
	if s.Batch {
		r.Priority = checker.Batch
	}
	if s.Deadline > 0 {
		r.Deadline = start.Add(s.Deadline.Std())
	}
	return r
}
