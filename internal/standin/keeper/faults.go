package keeper

import "time"

// Faults are what is wrong with a service until other faults are set.
type Faults struct {
	// Refuse fails every call before it takes effect and ends waiting watches.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMillis is added before every call takes effect.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// LoseAnswers is the number of writes to come that take effect but whose
	// answer never arrives.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SilentWatches makes waiting and new watches wait for good. A watch that
	// starts after the fault is over works.
	SilentWatches bool `json:"silent_watches,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the calls; 0 is no limit.
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Calls counts the calls that reached a service, refused ones included.
type Calls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Watches counts each wait once; it is part of no other count.
	Watches uint64 `json:"watches"`
}
