package storer

import "time"

// PutRequest is the body of an HTTP request to write a key.
type PutRequest struct {
	Value      []byte `json:"value"`
	IfRevision uint64 `json:"if_revision"`
	LeaseID    uint64 `json:"lease_id,omitempty"`
}

// PutResponse is the body of the response to a PutRequest.
type PutResponse struct {
	Revision uint64 `json:"revision"`
}

// GrantRequest is the body of an HTTP request to create a lease.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_millis"`
}

// TTL returns the requested time to live.
func (g GrantRequest) TTL() time.Duration {
	return time.Duration(g.TTLMillis) * time.Millisecond
}

// URL paths of the platform's HTTP API.
const (
	PathKeys   = "/v1/kv/"
	PathWatch  = "/v1/watch/"
	PathList   = "/v1/list/"
	PathLeases = "/v1/leases"
	PathVMs    = "/v1/vms"
)
