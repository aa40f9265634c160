package informer

import "gentianstep.example/gentianstep/internal/platform/storer"

// Versions holds the version of a VM's replica of each prefix.
type Versions map[string]storer.Version

// JoinVersions returns the versions of the given revisions and eras. A prefix without an
// era has era 0, also if eras is nil, as in messages of builds that know no eras.
func JoinVersions(revisions, eras map[string]uint64) Versions {
	v := make(Versions, len(revisions))
	for prefix, revision := range revisions {
		v[prefix] = storer.Version{Era: eras[prefix], Revision: revision}
	}
	return v
}

// Split returns the revision of each prefix and the eras above 0.
func (v Versions) Split() (revisions, eras map[string]uint64) {
	revisions, eras = make(map[string]uint64, len(v)), make(map[string]uint64)
	for prefix, version := range v {
		revisions[prefix] = version.Revision
		if version.Era > 0 {
			eras[prefix] = version.Era
		}
	}
	return revisions, eras
}
