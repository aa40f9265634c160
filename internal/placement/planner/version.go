package planner

import (
	"math"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// AllowedVersions returns the versions of m that may be served, the wanted one
// first.
func AllowedVersions(m checker.Model) []string {
	if m.PreviousWeightsVersion == "" {
		return []string{m.WeightsVersion}
	}
	return []string{m.WeightsVersion, m.PreviousWeightsVersion}
}

// ServableVersions returns the versions of m that may be served and that at
// least one engine has ready, the wanted one first. The map ready holds the
// number of ready engines of each version.
func ServableVersions(m checker.Model, ready map[string]int) []string {
	versions := make([]string, 0, 2)
	for _, version := range AllowedVersions(m) {
		if ready[version] > 0 {
			versions = append(versions, version)
		}
	}
	return versions
}

// PinVersion returns the version that serves a request of the given prefix
// family. During a roll-out, each version serves a share of the prefix families
// equal to its share of the ready engines. As the share of the wanted version
// grows, each family switches to it exactly once. If no version is known to be
// ready, PinVersion returns the wanted version.
func PinVersion(m checker.Model, ready map[string]int, family uint64) string {
	versions := ServableVersions(m, ready)
	switch len(versions) {
	case 0:
		return m.WeightsVersion
	case 1:
		return versions[0]
	}
	wanted, previous := ready[versions[0]], ready[versions[1]]
	share := float64(wanted) / float64(wanted+previous)
	if float64(family)/math.MaxUint64 < share {
		return versions[0]
	}
	return versions[1]
}
