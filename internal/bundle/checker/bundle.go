// Package checker defines the bundle, the document that holds the whole
// configuration of a deployment, and decodes and validates it.
package checker

// Bundle is one version of a deployment's configuration.
type Bundle struct {
	// Deployment is the name of the deployment that the bundle configures.
	Deployment string `json:"deployment"`
	// Version increases with every publish and is never reused.
	Version       uint64         `json:"version"`
	Regions       []Region       `json:"regions"`
	Organisations []Organisation `json:"organisations"`
	Models        []Model        `json:"models"`
	Upstreams     []Upstream     `json:"upstreams"`
	Services      []Service      `json:"services"`
	// KeptCaches lists the external cache stores, at most one per region.
	KeptCaches []KeptCache `json:"kept_caches,omitempty"`
	Policy     Policy      `json:"policy"`
}

// Region is a group of availability zones with low latency between them.
type Region struct {
	Name              string   `json:"name"`
	AvailabilityZones []string `json:"availability_zones"`
}
