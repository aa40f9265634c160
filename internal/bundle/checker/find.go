package checker

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

func find[T any](list []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return list[i], true
}

// Region returns the region of that name.
func (b *Bundle) Region(name string) (Region, bool) {
	return find(b.Regions, func(r Region) bool { return r.Name == name })
}

// Model returns the model of that name.
func (b *Bundle) Model(name string) (Model, bool) {
	return find(b.Models, func(m Model) bool { return m.Name == name })
}

// Upstream returns the upstream of that name.
func (b *Bundle) Upstream(name string) (Upstream, bool) {
	return find(b.Upstreams, func(u Upstream) bool { return u.Name == name })
}

// Service returns the plain service of that name.
func (b *Bundle) Service(name string) (Service, bool) {
	return find(b.Services, func(s Service) bool { return s.Name == name })
}

// Organisation returns the organisation of that name.
func (b *Bundle) Organisation(name string) (Organisation, bool) {
	return find(b.Organisations, func(o Organisation) bool { return o.Name == name })
}

// KeyHash returns the form in which a bundle holds a caller key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationOfKey returns the organisation whose caller holds key.
func (b *Bundle) OrganisationOfKey(key string) (Organisation, bool) {
	hash := KeyHash(key)
	return find(b.Organisations, func(o Organisation) bool { return slices.Contains(o.KeyHashes, hash) })
}
