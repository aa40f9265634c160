// Package informer caches a VM's view of its deployment: the configuration in
// force, the upstreams, the desired weights and the entries of all VMs. It is
// updated from the platform's key-value store and, while the store is
// unavailable, from replicas that other VMs send.
package informer

import (
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// Codec decodes the store entries of operators and upstreams. Weights returns a
// model and the desired version of its weights.
type Codec interface {
	IsConfiguration(key string) bool
	Configuration(value []byte) (*matcher.Configuration, error)
	IsWeights(key string) bool
	Weights(value []byte) (model string, version uint64, err error)
	UpstreamID(key string) string
	Upstream(key string, value []byte) (*registrar.Upstream, error)
}
