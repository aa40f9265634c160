// Package rehearser simulates load patterns on a model of engines in virtual time.
// It compares scheduling policies with each other and with an upper bound for
// schedulers that know all requests in advance.
package rehearser

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Load describes a pattern of requests and the engines that serve them. Fields
// ending in MS are in milliseconds, sizes of prompts and caches in tokens.
type Load struct {
	Name    string `json:"name"`
	Seconds int    `json:"seconds"`
	// VMs is the number of VMs. Each chooses engines independently.
	VMs int `json:"vms"`
	// LoadSyncMS is the interval at which VMs learn the load that other VMs put on
	// engines.
	LoadSyncMS int     `json:"news_ms"`
	Engines    Engines `json:"engines"`
	Kinds      []Kind  `json:"kinds"`
	Bursts     []Burst `json:"bursts"`
	Crashes    []Crash `json:"crashes"`
	// Departures, Refusals and Limits are what engines state in their own responses.
	Departures []Departure `json:"departures"`
	Refusals   []Refusal   `json:"refusals"`
	Limits     []Limit     `json:"limits"`
}

// Engines describes a fleet of engines that differ in their speed only.
type Engines struct {
	Count int `json:"count"`
	// Regions is the number of regions over which engines and VMs are spread.
	Regions int `json:"regions"`
	// Slots is the number of requests that an engine serves concurrently. The
	// picker derives its in-flight limits from it.
	Slots int `json:"slots"`
	// PrefillTokensPerMS is the prefill rate of an engine in tokens per millisecond.
	PrefillTokensPerMS float64 `json:"read_per_ms"`
	// StepMS is the time between two tokens of a response.
	StepMS float64 `json:"step_ms"`
	// CacheTokens is the capacity of an engine's cache of shared parts.
	CacheTokens int `json:"kept"`
	// CopyTokensPerMS is the rate in tokens per millisecond at which an engine
	// copies cached parts from another engine in its region.
	CopyTokensPerMS float64 `json:"copy_per_ms"`
	// Speeds are the factors by which the rates of the engines of each region differ from
	// the above, in turn; all are 1 if it is empty.
	Speeds []float64 `json:"speeds"`
	// Slowdowns are changes of the speeds of single engines.
	Slowdowns []Slowdown `json:"slowdowns"`
}

// Slowdown multiplies the speed of an engine for a limited time.
type Slowdown struct {
	Engine int     `json:"engine"`
	AtMS   int     `json:"at_ms"`
	ForMS  int     `json:"for_ms"`
	Factor float64 `json:"factor"`
}

// Kind describes one class of requests.
type Kind struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_second"`
	// SharedTokens is the size of the prompt part that requests of one subject
	// share. MeanOwnTokens is the mean size of the rest.
	SharedTokens  int `json:"shared"`
	MeanOwnTokens int `json:"own"`
	// Subjects is the number of subjects. Popularity decreases with the index.
	Subjects     int `json:"subjects"`
	OutputTokens int `json:"output"`
	ObjectiveMS  int `json:"objective_ms"`
	// PatienceMS is the maximum time that a client waits for the first token.
	PatienceMS int `json:"patience_ms"`
	// Benefit is the benefit of a response whose first token meets the objective,
	// LateBenefit that of one that begins later, but within PatienceMS.
	Benefit     float64 `json:"worth"`
	LateBenefit float64 `json:"late"`
	// Priority is the urgency, 0 being the most urgent.
	Priority     int    `json:"priority"`
	Organisation string `json:"organisation"`
}

// Burst multiplies the request rate for a limited time.
type Burst struct {
	AtMS   int     `json:"at_ms"`
	ForMS  int     `json:"for_ms"`
	Factor float64 `json:"factor"`
	// Kinds limits the burst to these kinds; empty means all.
	Kinds []string `json:"kinds"`
}

// Crash makes a share of the engines unavailable for a limited time. Their caches
// are empty when they return.
type Crash struct {
	AtMS  int     `json:"at_ms"`
	ForMS int     `json:"for_ms"`
	Share float64 `json:"share"`
}

// Decode parses and validates a load.
func Decode(data []byte) (*Load, error) {
	var l Load
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("decode load: %w", err)
	}
	if err := l.validate(); err != nil {
		return nil, fmt.Errorf("validate load %q: %w", l.Name, err)
	}
	return &l, nil
}

var errOutOfRange = errors.New("value out of range")

func (l *Load) validate() error {
	if l.Seconds <= 0 || l.VMs <= 0 || l.LoadSyncMS < 0 || len(l.Kinds) == 0 {
		return fmt.Errorf("seconds, vms, news_ms or kinds: %w", errOutOfRange)
	}
	if err := l.Engines.validate(); err != nil {
		return err
	}
	for _, k := range l.Kinds {
		if err := k.validate(); err != nil {
			return err
		}
	}
	for _, c := range l.Crashes {
		if c.Share <= 0 || c.Share >= 1 {
			return fmt.Errorf("share of crash: %w", errOutOfRange)
		}
	}
	return l.validateNotices()
}

func (l *Load) validateNotices() error {
	for _, d := range l.Departures {
		if err := d.validate(); err != nil {
			return err
		}
	}
	for _, f := range l.Refusals {
		if err := f.validate(); err != nil {
			return err
		}
	}
	for _, limit := range l.Limits {
		if err := limit.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engines) validate() error {
	switch {
	case e.Count <= 0 || e.Regions <= 0 || e.Slots <= 0:
		return fmt.Errorf("count, regions or slots of engines: %w", errOutOfRange)
	case e.PrefillTokensPerMS <= 0 || e.CopyTokensPerMS <= 0 || e.StepMS < 0 || e.CacheTokens < 0:
		return fmt.Errorf("rates, step or cache size of engines: %w", errOutOfRange)
	}
	for _, speed := range e.Speeds {
		if speed <= 0 {
			return fmt.Errorf("speeds of engines: %w", errOutOfRange)
		}
	}
	for _, s := range e.Slowdowns {
		if s.Engine < 0 || s.Engine >= e.Count || s.Factor <= 0 || s.Factor > 1 {
			return fmt.Errorf("slowdowns of engines: %w", errOutOfRange)
		}
	}
	return nil
}

func (k *Kind) validate() error {
	switch {
	case k.PerSecond <= 0 || k.SharedTokens < 0 || k.MeanOwnTokens <= 0 || k.Subjects <= 0:
		return fmt.Errorf("rate, prompt sizes or subjects of kind %q: %w", k.Name, errOutOfRange)
	case k.ObjectiveMS <= 0 || k.PatienceMS < k.ObjectiveMS || k.LateBenefit > k.Benefit:
		return fmt.Errorf("time limits or benefits of kind %q: %w", k.Name, errOutOfRange)
	}
	return nil
}

// end returns the time after which no request arrives.
func (l *Load) end() time.Duration { return time.Duration(l.Seconds) * time.Second }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
