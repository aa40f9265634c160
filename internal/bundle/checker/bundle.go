// Package checker defines the bundle, the one document by which operators
// steer a deployment, and checks it.
package checker

// Bundle is one version of a deployment's configuration.
type Bundle struct {
	// Deployment names the deployment that the bundle is for.
	Deployment string `json:"deployment"`
	// Version rises by one with each publish and is never used twice.
	Version       uint64         `json:"version"`
	Regions       []Region       `json:"regions"`
	Organisations []Organisation `json:"organisations"`
	Models        []Model        `json:"models"`
	Upstreams     []Upstream     `json:"upstreams"`
	Services      []Service      `json:"services"`
	// KeptCaches names the store of kept cache of each region that has one.
	KeptCaches []KeptCache `json:"kept_caches,omitempty"`
	Policy     Policy      `json:"policy"`
}

// Region is a group of availability zones with short latency between them.
type Region struct {
	Name              string   `json:"name"`
	AvailabilityZones []string `json:"availability_zones"`
}
