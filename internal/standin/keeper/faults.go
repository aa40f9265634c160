package keeper

import "time"

// Faults lists the faults to inject until the next call of Faulty.Set.
type Faults struct {
	// Refuse fails every call before it takes effect and aborts pending watches.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMillis is the latency added before each call takes effect.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// LoseResponses is the number of further writes that take effect but whose
	// response is dropped.
	LoseResponses int `json:"lose_answers,omitempty"`
	// SilentWatches makes pending and new watches block until their context ends.
	// Watches that start after the fault is cleared work.
	SilentWatches bool `json:"silent_watches,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the call rates; 0 disables the limit.
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Calls counts the calls that reached a service, including rejected ones.
type Calls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Watches counts each watch call once. Reads and Writes exclude watches.
	Watches uint64 `json:"watches"`
}
