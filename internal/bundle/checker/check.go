package checker

import (
	"encoding/hex"
	"fmt"
	"slices"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameLength is the longest name of anything in a bundle, in bytes.
const maxNameLength = 64

// MaxVersion is the highest version number that every JSON reader keeps exact.
const MaxVersion = 1 << 53

// keyHashBytes is the size of a SHA-256 sum.
const keyHashBytes = 32

func invalid(path, format string, args ...any) error {
	return classifier.New(classifier.BundleInvalid, "%s: %s", path, fmt.Sprintf(format, args...))
}

// Check reports the first fault of the bundle, naming its path.
func (b *Bundle) Check() error {
	if err := checkName("deployment", b.Deployment); err != nil {
		return err
	}
	if b.Version == 0 || b.Version > MaxVersion {
		return invalid("version", "got %d, takes 1 to %d", b.Version, uint64(MaxVersion))
	}
	checks := []func() error{
		b.checkRegions,
		b.checkModels,
		b.checkUpstreams,
		b.checkServices,
		b.checkOrganisations,
		b.checkKeptCaches,
		b.Policy.check,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func checkName(path, name string) error {
	if name == "" || len(name) > maxNameLength {
		return invalid(path, "got %q, takes 1 to %d bytes", name, maxNameLength)
	}
	for _, c := range name {
		if !nameRune(c) {
			return invalid(path, "got %q, takes letters, digits, '-', '_' and '.'", name)
		}
	}
	return nil
}

func nameRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

func checkNames[T any](path string, list []T, name func(T) string) error {
	seen := make(map[string]bool, len(list))
	for i, item := range list {
		at := fmt.Sprintf("%s[%d].name", path, i)
		n := name(item)
		if err := checkName(at, n); err != nil {
			return err
		}
		if seen[n] {
			return invalid(at, "got %q a second time", n)
		}
		seen[n] = true
	}
	return nil
}

func (b *Bundle) checkRegions() error {
	if len(b.Regions) == 0 {
		return invalid("regions", "got none, takes at least one")
	}
	if err := checkNames("regions", b.Regions, func(r Region) string { return r.Name }); err != nil {
		return err
	}
	for i, region := range b.Regions {
		at := fmt.Sprintf("regions[%d].availability_zones", i)
		if len(region.AvailabilityZones) == 0 {
			return invalid(at, "got none, takes at least one")
		}
		for j, zone := range region.AvailabilityZones {
			if err := checkName(fmt.Sprintf("%s[%d]", at, j), zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *Bundle) checkModels() error {
	if err := checkNames("models", b.Models, func(m Model) string { return m.Name }); err != nil {
		return err
	}
	for i, m := range b.Models {
		at := fmt.Sprintf("models[%d]", i)
		if err := checkName(at+".weights_version", m.WeightsVersion); err != nil {
			return err
		}
		if err := checkPreviousVersion(at+".previous_weights_version", m); err != nil {
			return err
		}
		if m.MinReplicas < 1 {
			return invalid(at+".min_replicas", "got %d, takes 1 or more", m.MinReplicas)
		}
		if m.MaxPromptBytes < 1 {
			return invalid(at+".max_prompt_bytes", "got %d, takes 1 or more", m.MaxPromptBytes)
		}
		if m.MaxTokens < 1 {
			return invalid(at+".max_tokens", "got %d, takes 1 or more", m.MaxTokens)
		}
	}
	return nil
}

func checkPreviousVersion(path string, m Model) error {
	if m.PreviousWeightsVersion == "" {
		return nil
	}
	if m.PreviousWeightsVersion == m.WeightsVersion {
		return invalid(path, "got %q, takes another version than weights_version", m.PreviousWeightsVersion)
	}
	return checkName(path, m.PreviousWeightsVersion)
}

func (b *Bundle) checkUpstreams() error {
	if err := checkNames("upstreams", b.Upstreams, func(u Upstream) string { return u.Name }); err != nil {
		return err
	}
	for i, u := range b.Upstreams {
		if err := b.checkUpstream(fmt.Sprintf("upstreams[%d]", i), u); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bundle) checkUpstream(at string, u Upstream) error {
	if !u.Address.IsValid() || u.Address.Port() == 0 {
		return invalid(at+".address", "got %q, takes an IP number and a port", u.Address)
	}
	region, ok := b.Region(u.Region)
	if !ok {
		return invalid(at+".region", "got %q, takes a name from regions", u.Region)
	}
	if !slices.Contains(region.AvailabilityZones, u.AvailabilityZone) {
		return invalid(at+".availability_zone", "got %q, takes one of region %s", u.AvailabilityZone, region.Name)
	}
	if u.Slots < 1 {
		return invalid(at+".slots", "got %d, takes 1 or more", u.Slots)
	}
	if u.Kind != Engine && u.Kind != PlainService {
		return invalid(at+".kind", "got %q, takes %q or %q", u.Kind, Engine, PlainService)
	}
	if u.Kind == Engine && len(u.Models) == 0 {
		return invalid(at+".models", "got none, takes at least one for an engine")
	}
	for j, name := range u.Models {
		if _, ok := b.Model(name); !ok {
			return invalid(fmt.Sprintf("%s.models[%d]", at, j), "got %q, takes a name from models", name)
		}
	}
	return nil
}

func (b *Bundle) checkServices() error {
	if err := checkNames("services", b.Services, func(s Service) string { return s.Name }); err != nil {
		return err
	}
	for i, s := range b.Services {
		at := fmt.Sprintf("services[%d]", i)
		if len(s.Upstreams) == 0 {
			return invalid(at+".upstreams", "got none, takes at least one")
		}
		for j, name := range s.Upstreams {
			u, ok := b.Upstream(name)
			if !ok || u.Kind != PlainService {
				return invalid(fmt.Sprintf("%s.upstreams[%d]", at, j), "got %q, takes an upstream of kind %s", name, PlainService)
			}
		}
		for j, call := range s.Calls {
			if call.Method == "" || call.Path == "" || call.Path[0] != '/' {
				return invalid(fmt.Sprintf("%s.calls[%d]", at, j), "takes a method and a path from '/'")
			}
		}
	}
	return nil
}

func (b *Bundle) checkOrganisations() error {
	if err := checkNames("organisations", b.Organisations, func(o Organisation) string { return o.Name }); err != nil {
		return err
	}
	owners := make(map[string]string)
	for i, o := range b.Organisations {
		at := fmt.Sprintf("organisations[%d]", i)
		if err := b.checkOrganisation(at, o); err != nil {
			return err
		}
		for j, hash := range o.KeyHashes {
			if owner, ok := owners[hash]; ok {
				return invalid(fmt.Sprintf("%s.key_hashes[%d]", at, j), "already a key of %s", owner)
			}
			owners[hash] = o.Name
		}
	}
	return nil
}

func (b *Bundle) checkOrganisation(at string, o Organisation) error {
	for j, hash := range o.KeyHashes {
		sum, err := hex.DecodeString(hash)
		if err != nil || len(sum) != keyHashBytes {
			return invalid(fmt.Sprintf("%s.key_hashes[%d]", at, j), "takes a SHA-256 sum of 64 hex digits")
		}
	}
	if o.Weight < 1 {
		return invalid(at+".weight", "got %d, takes 1 or more", o.Weight)
	}
	if o.RequestsPerSecond < 0 {
		return invalid(at+".requests_per_second", "got %g, takes 0 or more", o.RequestsPerSecond)
	}
	if o.Priority != Interactive && o.Priority != Batch {
		return invalid(at+".priority", "got %q, takes %q or %q", o.Priority, Interactive, Batch)
	}
	for j, name := range o.Models {
		if _, ok := b.Model(name); !ok {
			return invalid(fmt.Sprintf("%s.models[%d]", at, j), "got %q, takes a name from models", name)
		}
	}
	for j, name := range o.Services {
		if _, ok := b.Service(name); !ok {
			return invalid(fmt.Sprintf("%s.services[%d]", at, j), "got %q, takes a name from services", name)
		}
	}
	return nil
}
