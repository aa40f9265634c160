// Package gauger estimates the speed of each engine relative to the mean of its service
// from the times that prompts took there and those that were expected. It does no I/O and
// reads no clock.
package gauger

import (
	"math"
	"time"
)

const (
	// MinExpected is the shortest expected time that is sampled. Of a shorter one the
	// network and the first decoding step are a large part, at any speed of the engine.
	MinExpected = 60 * time.Millisecond
	// maxExpected is the weight of the longest prompts in a sum, so that one of them does
	// not outweigh all others.
	maxExpected = time.Second
	// maxRatio bounds the ratio of the observed to the expected time of a sample, and its
	// inverse. Speeds of 0.6 to 1.6 and an expectation that is wrong by a third give ratios
	// of 0.5 to 2.3.
	maxRatio = 4
	// MaxCount is the number of samples in one sum from which on more have no effect.
	MaxCount = 10_000
	// maxUpstreams bounds the upstreams of Sums and of a Gauger.
	maxUpstreams = 4096
)

// Sample is the time that prompts took at an engine, or a sum of such times.
type Sample struct {
	Upstream string
	// StartedMillis is the start of its process in Unix milliseconds, 0 if unknown.
	StartedMillis int64
	// Service is the service of the engine. Engines of different services are not compared.
	Service string
	// Observed is the time to the first event. Expected is the time that an engine of speed
	// 1 needs for the prompt and for those queued before it.
	Observed time.Duration
	Expected time.Duration
	// Count is the number of prompts.
	Count int
}

// Valid reports whether the sample can be that of prompts.
func (s Sample) Valid() bool {
	return s.Upstream != "" && s.StartedMillis >= 0 && s.Count > 0 && s.Count <= MaxCount &&
		s.Expected > 0 && s.Expected <= MaxCount*maxExpected && s.Observed > 0 && s.Observed <= maxRatio*MaxCount*maxExpected
}

// bounded returns the sample of one prompt with a bounded ratio and weight.
func (s Sample) bounded() Sample {
	ratio := min(max(float64(s.Observed)/float64(s.Expected), 1.0/maxRatio), maxRatio)
	s.Expected = min(s.Expected, maxExpected)
	s.Observed = time.Duration(ratio * float64(s.Expected))
	s.Count = 1
	return s
}

// logRatio returns the logarithm of the ratio of the observed to the expected time.
func (s Sample) logRatio() float64 {
	bound := math.Log(maxRatio)
	return min(max(math.Log(float64(s.Observed)/float64(s.Expected)), -bound), bound)
}
