package main

import (
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// defaultSettingsPath is where every subcommand looks for settings.
const defaultSettingsPath = "settings.json"

func newCheckCommand() command {
	path := defaultSettingsPath
	parser := flaggy.NewSubcommand("check")
	parser.Description = "Check a settings file."
	parser.String(&path, "s", "settings", "Path of the settings file.")
	return command{parser: parser, run: func(context.Context) error {
		settings, err := configurer.Load(path)
		if err != nil {
			return err
		}
		return printLine("%s: %s is valid", path, settings)
	}}
}
