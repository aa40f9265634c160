package caller

import (
	"errors"
	"net/url"
	"strings"
)

// errTarget reports a request target that cannot be sent unchanged.
var errTarget = errors.New("request target cannot be sent unchanged")

// CheckTarget returns an error if a request target cannot be sent byte for byte.
func CheckTarget(target string) error { return setTarget(&url.URL{Scheme: "http"}, target) }

// setTarget sets the request target that a call to u has.
func setTarget(u *url.URL, target string) error {
	u.Opaque, u.Path, u.RawPath, u.RawQuery, u.ForceQuery = target, "", "", "", false
	if strings.HasPrefix(target, "//") {
		// An opaque URL that begins with two slashes is sent as an absolute one.
		path, query, hasQuery := strings.Cut(target, "?")
		unescaped, err := url.PathUnescape(path)
		if err != nil {
			return errors.Join(errTarget, err)
		}
		u.Opaque, u.Path, u.RawPath, u.RawQuery, u.ForceQuery = "", unescaped, path, query, hasQuery
	}
	if u.RequestURI() != target {
		return errTarget
	}
	return nil
}
