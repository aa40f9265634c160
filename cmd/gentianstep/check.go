package main

import (
	"context"
	"path/filepath"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/platform"
)

// defaultSettingsPath is the default settings path of every subcommand.
const defaultSettingsPath = "settings.json"

// platformExtension is the file extension of settings in the platform's format.
// Files with any other extension are settings in the JSON format of gentianstep.
const platformExtension = ".toml"

func newCheckCommand() command {
	path := defaultSettingsPath
	parser := flaggy.NewSubcommand("check")
	parser.Description = "Check a settings file."
	parser.String(&path, "s", "settings", "Path of the settings file; one of the platform ends in .toml.")
	return command{parser: parser, run: func(context.Context) error {
		if filepath.Ext(path) == platformExtension {
			vm, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			return printLine("%s: VM %s in %s is valid", path, vm.Node, vm.AvailabilityZone)
		}
		settings, err := configurer.Load(path)
		if err != nil {
			return err
		}
		return printLine("%s: %s is valid", path, settings)
	}}
}
