package storer

import "cmp"

// Version orders the states of the store. A store that is restored from an older copy
// starts a new era, in which it assigns revisions of the era before again, so that
// revisions alone must not be compared.
type Version struct {
	// Era is 0 for a store that does not state eras.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

// Compare returns a negative number if v is before other, a positive number if it is
// after it, and 0 if they are equal.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// After reports whether v is after other.
func (v Version) After(other Version) bool { return v.Compare(other) > 0 }
