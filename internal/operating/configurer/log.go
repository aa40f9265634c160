package configurer

import "slices"

// LogSettings hold the format and the minimum level of the log.
type LogSettings struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "debug", "info", "warning" or "error".
	Level string `json:"level"`
}

func (l LogSettings) check() error {
	if !slices.Contains([]string{"json", "text"}, l.Format) {
		return invalid("log.format", "got %q, want json or text", l.Format)
	}
	if !slices.Contains([]string{"debug", "info", "warning", "error"}, l.Level) {
		return invalid("log.level", "got %q, want debug, info, warning or error", l.Level)
	}
	return nil
}
