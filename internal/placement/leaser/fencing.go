package leaser

import (
	"fmt"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// A fencing number has the era in its high bits and the revision in its low ones. With
// 53 bits, a JSON decoder that reads numbers as floating point reads it exactly.
const (
	eraBits      = 13
	revisionBits = 40
)

// FencingNumber returns the fencing number of the holder that acquired its lease at
// version v. It increases with v, and is the revision for a store that states no eras.
func FencingNumber(v storer.Version) (uint64, error) {
	if v.Era >= 1<<eraBits || v.Revision >= 1<<revisionBits {
		return 0, fmt.Errorf("derive fencing number: era %d or revision %d of the store is out of range", v.Era, v.Revision)
	}
	return v.Era<<revisionBits | v.Revision, nil
}
