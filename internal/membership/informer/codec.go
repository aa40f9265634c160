// Package informer keeps what a VM believes of its deployment: the configuration
// in force, the upstreams, the wanted weights and the other VMs. It learns from
// the platform's store and, where the store turns it away, from other VMs.
package informer

import (
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// Codec decodes what others write to the store.
type Codec interface {
	IsConfiguration(key string) bool
	Configuration(value []byte) (*matcher.Configuration, error)
	IsWeights(key string) bool
	Weights(value []byte) (model string, version uint64, err error)
	UpstreamID(key string) string
	Upstream(key string, value []byte) (*registrar.Upstream, error)
}
