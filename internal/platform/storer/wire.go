package storer

import "time"

// PutRequest is the body of a write to the platform's service over HTTP.
type PutRequest struct {
	Value      []byte `json:"value"`
	IfRevision uint64 `json:"if_revision"`
	LeaseID    uint64 `json:"lease_id,omitempty"`
}

// PutAnswer is the answer to a write.
type PutAnswer struct {
	Revision uint64 `json:"revision"`
}

// GrantRequest asks for a lease.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_millis"`
}

// TTL returns the time to live that is asked for.
func (g GrantRequest) TTL() time.Duration {
	return time.Duration(g.TTLMillis) * time.Millisecond
}

// Paths of the platform's service over HTTP.
const (
	PathKeys   = "/v1/kv/"
	PathWatch  = "/v1/watch/"
	PathList   = "/v1/list/"
	PathLeases = "/v1/leases"
	PathVMs    = "/v1/vms"
)
