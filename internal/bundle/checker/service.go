package checker

import "strings"

// Service is a plain HTTP service that is served alongside the models.
type Service struct {
	Name      string   `json:"name"`
	Upstreams []string `json:"upstreams"`
	Calls     []Call   `json:"calls"`
}

// Call declares whether the calls of a plain service that match it are idempotent.
type Call struct {
	Method string `json:"method"`
	// Path is matched exactly, or as a prefix if it ends in "*".
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Matches reports whether c matches the method and path of a request.
func (c Call) Matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(c.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return c.Path == path
}

// Idempotent reports whether a request may be retried. A request that matches no
// call may not.
func (s Service) Idempotent(method, path string) bool {
	for _, call := range s.Calls {
		if call.Matches(method, path) {
			return call.Idempotent
		}
	}
	return false
}
