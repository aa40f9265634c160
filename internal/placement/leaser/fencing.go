package leaser

import (
	"errors"
	"fmt"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// A fencing number has the era in its high bits and the revision in its low ones. With
// 53 bits, a JSON decoder that reads numbers as floating point reads it exactly.
const (
	eraBits      = 16
	revisionBits = 37
)

// errNoFencingNumber is the error of a version from which no fencing number follows.
var errNoFencingNumber = errors.New("revision of the store is out of range")

// FencingNumber returns the fencing number of the holder that acquired its lease at
// version v. It increases with v, and is the revision for a store that states no eras.
// Only the low bits of the era count: a store may state any first era, and the numbers
// restart after 1<<eraBits restores only.
func FencingNumber(v storer.Version) (uint64, error) {
	if v.Revision >= 1<<revisionBits {
		return 0, fmt.Errorf("derive fencing number from revision %d: %w", v.Revision, errNoFencingNumber)
	}
	return v.Era%(1<<eraBits)<<revisionBits | v.Revision, nil
}
