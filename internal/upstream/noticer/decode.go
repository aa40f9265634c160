package noticer

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// maxSeconds is the longest time that time.Duration holds, in seconds.
const maxSeconds = float64(math.MaxInt64 / int64(time.Second))

// DecodeLeaving decodes a header that says that an upstream is leaving. It has a
// single defined value.
func DecodeLeaving(h http.Header, name, value string) (bool, error) {
	values := h.Values(name)
	switch {
	case len(values) == 0:
		return false, nil
	case len(values) == 1 && values[0] == value:
		return true, nil
	}
	return false, fmt.Errorf("header %s: got %.40q, want %q", name, values, value)
}

// DecodeHoldOff decodes the header Retry-After of a refusal, 0 if there is none.
func DecodeHoldOff(h http.Header) (time.Duration, error) {
	values := h.Values("Retry-After")
	if len(values) == 0 {
		return 0, nil
	}
	wait, err := strconv.ParseFloat(values[0], 64)
	if len(values) != 1 || err != nil || !(wait >= 0) || math.IsInf(wait, 0) {
		return 0, fmt.Errorf("header Retry-After: got %.40q, want seconds of 0 or more", values)
	}
	return time.Duration(min(wait, maxSeconds) * float64(time.Second)), nil
}

// DecodeLimit decodes a header in which an upstream states how many requests a second it
// takes. A response without the header says that there is no limit.
func DecodeLimit(h http.Header, name string) (throttler.Statement, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return throttler.Statement{Stated: true}, nil
	}
	perSecond, err := strconv.ParseFloat(values[0], 64)
	if len(values) != 1 || err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return throttler.Statement{}, fmt.Errorf("header %s: got %.40q, want requests a second of 0 or more", name, values)
	}
	return throttler.Statement{Stated: true, Limited: true, PerSecond: perSecond}, nil
}
