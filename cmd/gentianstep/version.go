package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

// versionReport is what the version subcommand prints for scripts.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func newVersionCommand() command {
	var asJSON bool
	parser := flaggy.NewSubcommand("version")
	parser.Description = "Print the version of the program."
	parser.Bool(&asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(context.Context) error {
		if asJSON {
			return printJSON(versionReport{Version: programVersion(), Go: runtime.Version()})
		}
		return printLine("gentianstep %s (%s)", programVersion(), runtime.Version())
	}}
}

// programVersion returns the version that the build recorded.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
