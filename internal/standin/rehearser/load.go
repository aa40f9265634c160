// Package rehearser plays load patterns against a model of engines in virtual
// time, so that policies can be held against each other and against what a
// scheduler that knows the future could reach at most.
package rehearser

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Load is a pattern of requests and the engines that serve them. Times are
// milliseconds, sizes are tokens.
type Load struct {
	Name    string `json:"name"`
	Seconds int    `json:"seconds"`
	// VMs choose engines, each by itself.
	VMs int `json:"vms"`
	// NewsMS is how long a VM hears nothing of the requests of others.
	NewsMS  int     `json:"news_ms"`
	Engines Engines `json:"engines"`
	Kinds   []Kind  `json:"kinds"`
	Bursts  []Burst `json:"bursts"`
	Crashes []Crash `json:"crashes"`
}

// Engines describes a fleet of equal engines.
type Engines struct {
	Count int `json:"count"`
	// Regions is the number of regions over which engines and VMs are spread.
	Regions int `json:"regions"`
	// Slots is how many requests an engine serves side by side, by which the
	// picker bounds what it sends.
	Slots int `json:"slots"`
	// ReadPerMS is how many tokens of a prompt an engine reads in a millisecond.
	ReadPerMS float64 `json:"read_per_ms"`
	// StepMS is the time between two tokens of an answer.
	StepMS float64 `json:"step_ms"`
	// Kept is how many tokens of shared parts an engine keeps.
	Kept int `json:"kept"`
	// CopyPerMS is how many tokens of cache an engine's link carries in a
	// millisecond within a zone.
	CopyPerMS float64 `json:"copy_per_ms"`
}

// Kind is a kind of request.
type Kind struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_second"`
	// Shared is the size of the part that requests of one subject share, Own the
	// mean of the rest.
	Shared int `json:"shared"`
	Own    int `json:"own"`
	// Subjects is how many subjects there are, the first ones asked for most.
	Subjects    int `json:"subjects"`
	Output      int `json:"output"`
	ObjectiveMS int `json:"objective_ms"`
	// PatienceMS is how long a client waits at most.
	PatienceMS int `json:"patience_ms"`
	// Worth is the benefit of an answer that begins within the objective, Late of
	// one that comes afterwards.
	Worth float64 `json:"worth"`
	Late  float64 `json:"late"`
}

// Burst multiplies the requests of a time.
type Burst struct {
	AtMS   int     `json:"at_ms"`
	ForMS  int     `json:"for_ms"`
	Factor float64 `json:"factor"`
}

// Crash takes a share of the engines away for a time. They return empty.
type Crash struct {
	AtMS  int     `json:"at_ms"`
	ForMS int     `json:"for_ms"`
	Share float64 `json:"share"`
}

// Decode reads a load and checks it.
func Decode(data []byte) (*Load, error) {
	var l Load
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if err := l.check(); err != nil {
		return nil, fmt.Errorf("load %q: %w", l.Name, err)
	}
	return &l, nil
}

var errOutOfRange = errors.New("value out of range")

func (l *Load) check() error {
	if l.Seconds <= 0 || l.VMs <= 0 || l.NewsMS < 0 || len(l.Kinds) == 0 {
		return fmt.Errorf("seconds, vms, news_ms or kinds: %w", errOutOfRange)
	}
	if err := l.Engines.check(); err != nil {
		return err
	}
	for _, k := range l.Kinds {
		if err := k.check(); err != nil {
			return err
		}
	}
	for _, c := range l.Crashes {
		if c.Share <= 0 || c.Share >= 1 {
			return fmt.Errorf("share of a crash: %w", errOutOfRange)
		}
	}
	return nil
}

func (e *Engines) check() error {
	switch {
	case e.Count <= 0 || e.Regions <= 0 || e.Slots <= 0:
		return fmt.Errorf("count, regions or slots of engines: %w", errOutOfRange)
	case e.ReadPerMS <= 0 || e.CopyPerMS <= 0 || e.StepMS < 0 || e.Kept < 0:
		return fmt.Errorf("pace or memory of engines: %w", errOutOfRange)
	}
	return nil
}

func (k *Kind) check() error {
	switch {
	case k.PerSecond <= 0 || k.Shared < 0 || k.Own <= 0 || k.Subjects <= 0:
		return fmt.Errorf("requests of kind %q: %w", k.Name, errOutOfRange)
	case k.ObjectiveMS <= 0 || k.PatienceMS < k.ObjectiveMS || k.Late > k.Worth:
		return fmt.Errorf("times or worth of kind %q: %w", k.Name, errOutOfRange)
	}
	return nil
}

// end is when the last requests come.
func (l *Load) end() time.Duration { return time.Duration(l.Seconds) * time.Second }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
