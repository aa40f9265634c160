package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

// versionReport is the JSON output of the version subcommand.
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

// programVersion returns the main module version from the build information.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
