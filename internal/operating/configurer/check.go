package configurer

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// listener is an address that this VM listens on.
type listener struct {
	path    string
	address netip.AddrPort
}

// nameForm is the form of names, the same as in bundles.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// invalid returns the error for the value at path.
func invalid(path, format string, args ...any) error {
	return classifier.New(classifier.SettingsInvalid, "%s: %s", path, fmt.Sprintf(format, args...))
}

func checkName(path, name string) error {
	if name == "" {
		return invalid(path, "got none, takes a name")
	}
	if !nameForm.MatchString(name) {
		return invalid(path, "got %q, takes 1 to 64 letters, digits, '-', '_' and '.'", name)
	}
	return nil
}

func checkListenAddress(path string, address netip.AddrPort) error {
	if !address.IsValid() {
		return invalid(path, "got none, takes %s", takesAddress)
	}
	return nil
}

// checkAddress checks an address that this process connects to.
func checkAddress(path string, address netip.AddrPort) error {
	if err := checkListenAddress(path, address); err != nil {
		return err
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return invalid(path, "got %s, takes the IP number and the port of another process", address)
	}
	return nil
}

func checkDuration(path string, value checker.Duration, least, most time.Duration) error {
	if value.Std() < least || value.Std() > most {
		return invalid(path, "got %s, takes %s to %s", value.Std(), least, most)
	}
	return nil
}

// maxCount bounds every count in settings.
const maxCount = 1 << 20

func checkCount(path string, value int) error {
	if value < 1 || value > maxCount {
		return invalid(path, "got %d, takes 1 to %d", value, maxCount)
	}
	return nil
}
