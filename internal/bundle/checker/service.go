package checker

import "strings"

// Service is a plain service that stands beside the engines.
type Service struct {
	Name      string   `json:"name"`
	Upstreams []string `json:"upstreams"`
	Calls     []Call   `json:"calls"`
}

// Call classes one call of a plain service.
type Call struct {
	Method string `json:"method"`
	// Path is matched whole, or as a prefix where it ends in "/*".
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Matches reports whether the call covers method and path.
func (c Call) Matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(c.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return c.Path == path
}

// Idempotent reports whether a call may be repeated. Unknown calls may not.
func (s Service) Idempotent(method, path string) bool {
	for _, call := range s.Calls {
		if call.Matches(method, path) {
			return call.Idempotent
		}
	}
	return false
}
