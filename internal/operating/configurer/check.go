package configurer

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// listener is an address and its path in the settings.
type listener struct {
	path    string
	address netip.AddrPort
}

// namePattern matches valid names. Bundles use the same pattern.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// invalid returns a SettingsInvalid error for the value at path.
func invalid(path, format string, args ...any) error {
	return classifier.New(classifier.SettingsInvalid, "%s: %s", path, fmt.Sprintf(format, args...))
}

func checkName(path, name string) error {
	if name == "" {
		return invalid(path, "got none, want a name")
	}
	if !namePattern.MatchString(name) {
		return invalid(path, "got %q, want 1 to 64 letters, digits, '-', '_' and '.'", name)
	}
	return nil
}

// checkListenAddress checks an address that this process listens on. Unlike
// checkAddress it allows port 0 and the unspecified address.
func checkListenAddress(path string, address netip.AddrPort) error {
	if !address.IsValid() {
		return invalid(path, "got none, want %s", addressFormat)
	}
	return nil
}

// checkAddress checks an address that this process connects to.
func checkAddress(path string, address netip.AddrPort) error {
	if err := checkListenAddress(path, address); err != nil {
		return err
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return invalid(path, "got %s, want the IP address and port of another process", address)
	}
	return nil
}

func checkDuration(path string, value checker.Duration, minimum, maximum time.Duration) error {
	if value.Std() < minimum || value.Std() > maximum {
		return invalid(path, "got %s, want %s to %s", value.Std(), minimum, maximum)
	}
	return nil
}

// maxCount is the upper limit of every count in settings.
const maxCount = 1 << 20

func checkCount(path string, value int) error {
	if value < 1 || value > maxCount {
		return invalid(path, "got %d, want 1 to %d", value, maxCount)
	}
	return nil
}
