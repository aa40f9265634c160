package checker

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// findFirst returns the first item that matches.
func findFirst[T any](list []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return list[i], true
}

// Region returns the region with the given name.
func (b *Bundle) Region(name string) (Region, bool) {
	return findFirst(b.Regions, func(r Region) bool { return r.Name == name })
}

// Model returns the model with the given name.
func (b *Bundle) Model(name string) (Model, bool) {
	return findFirst(b.Models, func(m Model) bool { return m.Name == name })
}

// Upstream returns the upstream with the given name.
func (b *Bundle) Upstream(name string) (Upstream, bool) {
	return findFirst(b.Upstreams, func(u Upstream) bool { return u.Name == name })
}

// Service returns the plain service with the given name.
func (b *Bundle) Service(name string) (Service, bool) {
	return findFirst(b.Services, func(s Service) bool { return s.Name == name })
}

// Organisation returns the organisation with the given name.
func (b *Bundle) Organisation(name string) (Organisation, bool) {
	return findFirst(b.Organisations, func(o Organisation) bool { return o.Name == name })
}

// KeyHash returns the hex SHA-256 hash under which a bundle lists an API key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationOfKey returns the organisation that the API key belongs to.
func (b *Bundle) OrganisationOfKey(key string) (Organisation, bool) {
	hash := KeyHash(key)
	return findFirst(b.Organisations, func(o Organisation) bool { return slices.Contains(o.KeyHashes, hash) })
}
