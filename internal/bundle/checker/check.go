package checker

import (
	"encoding/hex"
	"fmt"
	"slices"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameLength is the maximum length of every name in a bundle, in bytes.
const maxNameLength = 64

// MaxVersion is the highest version number. JSON parsers that read numbers as
// float64 represent integers exactly up to 2^53 only.
const MaxVersion = 1 << 53

// keyHashBytes is the size of a SHA-256 hash.
const keyHashBytes = 32

// invalid returns a BundleInvalid error for the value at path.
func invalid(path, format string, args ...any) error {
	return classifier.New(classifier.BundleInvalid, "%s: %s", path, fmt.Sprintf(format, args...))
}

// Check validates the bundle and returns the first error found, with the path of
// the invalid value.
func (b *Bundle) Check() error {
	if err := checkName("deployment", b.Deployment); err != nil {
		return err
	}
	if b.Version == 0 || b.Version > MaxVersion {
		return invalid("version", "got %d, want 1 to %d", b.Version, uint64(MaxVersion))
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
		return invalid(path, "got %q, want 1 to %d bytes", name, maxNameLength)
	}
	for _, c := range name {
		if !isNameRune(c) {
			return invalid(path, "got %q, want only letters, digits, '-', '_' and '.'", name)
		}
	}
	return nil
}

func isNameRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

// checkNames validates the name of each item of list and rejects duplicates.
func checkNames[T any](path string, list []T, name func(T) string) error {
	seen := make(map[string]bool, len(list))
	for i, item := range list {
		itemPath := fmt.Sprintf("%s[%d].name", path, i)
		n := name(item)
		if err := checkName(itemPath, n); err != nil {
			return err
		}
		if seen[n] {
			return invalid(itemPath, "duplicate name %q", n)
		}
		seen[n] = true
	}
	return nil
}

func (b *Bundle) checkRegions() error {
	if len(b.Regions) == 0 {
		return invalid("regions", "got none, want at least one")
	}
	if err := checkNames("regions", b.Regions, func(r Region) string { return r.Name }); err != nil {
		return err
	}
	for i, region := range b.Regions {
		path := fmt.Sprintf("regions[%d].availability_zones", i)
		if len(region.AvailabilityZones) == 0 {
			return invalid(path, "got none, want at least one")
		}
		for j, availabilityZone := range region.AvailabilityZones {
			if err := checkName(fmt.Sprintf("%s[%d]", path, j), availabilityZone); err != nil {
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
		path := fmt.Sprintf("models[%d]", i)
		if err := checkName(path+".weights_version", m.WeightsVersion); err != nil {
			return err
		}
		if err := checkPreviousVersion(path+".previous_weights_version", m); err != nil {
			return err
		}
		if m.MinReplicas < 1 {
			return invalid(path+".min_replicas", "got %d, want 1 or more", m.MinReplicas)
		}
		if m.MaxPromptBytes < 1 {
			return invalid(path+".max_prompt_bytes", "got %d, want 1 or more", m.MaxPromptBytes)
		}
		if m.MaxTokens < 1 {
			return invalid(path+".max_tokens", "got %d, want 1 or more", m.MaxTokens)
		}
	}
	return nil
}

func checkPreviousVersion(path string, m Model) error {
	if m.PreviousWeightsVersion == "" {
		return nil
	}
	if m.PreviousWeightsVersion == m.WeightsVersion {
		return invalid(path, "got %q, want a version other than weights_version", m.PreviousWeightsVersion)
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

func (b *Bundle) checkUpstream(path string, u Upstream) error {
	if !u.Address.IsValid() || u.Address.Port() == 0 {
		return invalid(path+".address", "got %q, want an IP address and a port", u.Address)
	}
	region, ok := b.Region(u.Region)
	if !ok {
		return invalid(path+".region", "got %q, want the name of a region of the bundle", u.Region)
	}
	if !slices.Contains(region.AvailabilityZones, u.AvailabilityZone) {
		return invalid(path+".availability_zone", "got %q, want an availability zone of region %s", u.AvailabilityZone, region.Name)
	}
	if u.Slots < 1 {
		return invalid(path+".slots", "got %d, want 1 or more", u.Slots)
	}
	if u.Kind != Engine && u.Kind != PlainService {
		return invalid(path+".kind", "got %q, want %q or %q", u.Kind, Engine, PlainService)
	}
	if u.Kind == Engine && len(u.Models) == 0 {
		return invalid(path+".models", "got none, want at least one for an engine")
	}
	for j, name := range u.Models {
		if _, ok := b.Model(name); !ok {
			return invalid(fmt.Sprintf("%s.models[%d]", path, j), "got %q, want the name of a model of the bundle", name)
		}
	}
	return nil
}

func (b *Bundle) checkServices() error {
	if err := checkNames("services", b.Services, func(s Service) string { return s.Name }); err != nil {
		return err
	}
	for i, s := range b.Services {
		path := fmt.Sprintf("services[%d]", i)
		if len(s.Upstreams) == 0 {
			return invalid(path+".upstreams", "got none, want at least one")
		}
		for j, name := range s.Upstreams {
			u, ok := b.Upstream(name)
			if !ok || u.Kind != PlainService {
				return invalid(fmt.Sprintf("%s.upstreams[%d]", path, j), "got %q, want the name of an upstream of kind %s", name, PlainService)
			}
		}
		for j, call := range s.Calls {
			if call.Method == "" || call.Path == "" || call.Path[0] != '/' {
				return invalid(fmt.Sprintf("%s.calls[%d]", path, j), "want a method and a path that starts with '/'")
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
		path := fmt.Sprintf("organisations[%d]", i)
		if err := b.checkOrganisation(path, o); err != nil {
			return err
		}
		for j, hash := range o.KeyHashes {
			if owner, ok := owners[hash]; ok {
				return invalid(fmt.Sprintf("%s.key_hashes[%d]", path, j), "key already belongs to organisation %s", owner)
			}
			owners[hash] = o.Name
		}
	}
	return nil
}

func (b *Bundle) checkOrganisation(path string, o Organisation) error {
	for j, hash := range o.KeyHashes {
		decoded, err := hex.DecodeString(hash)
		if err != nil || len(decoded) != keyHashBytes {
			return invalid(fmt.Sprintf("%s.key_hashes[%d]", path, j), "want a SHA-256 hash of 64 hex digits")
		}
	}
	if o.Weight < 1 {
		return invalid(path+".weight", "got %d, want 1 or more", o.Weight)
	}
	if o.RequestsPerSecond < 0 {
		return invalid(path+".requests_per_second", "got %g, want 0 or more", o.RequestsPerSecond)
	}
	if o.Priority != Interactive && o.Priority != Batch {
		return invalid(path+".priority", "got %q, want %q or %q", o.Priority, Interactive, Batch)
	}
	for j, name := range o.Models {
		if _, ok := b.Model(name); !ok {
			return invalid(fmt.Sprintf("%s.models[%d]", path, j), "got %q, want the name of a model of the bundle", name)
		}
	}
	for j, name := range o.Services {
		if _, ok := b.Service(name); !ok {
			return invalid(fmt.Sprintf("%s.services[%d]", path, j), "got %q, want the name of a service of the bundle", name)
		}
	}
	return nil
}
