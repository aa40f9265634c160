package main

import (
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/operating/configurer"
)

func newBundleCheckCommand() command {
	var bundlePath, settingsPath string
	parser := flaggy.NewSubcommand("check")
	parser.Description = "Check a bundle, and with --settings its signatures too."
	parser.String(&bundlePath, "b", "bundle", "Path of the bundle, signed or not; - reads standard input.")
	parser.String(&settingsPath, "s", "settings", "Path of the settings file whose keys to trust.")
	return command{parser: parser, run: func(context.Context) error {
		if err := requireFlag("bundle", bundlePath, "the path of a bundle"); err != nil {
			return err
		}
		e, b, err := readBundle(bundlePath)
		if err != nil {
			return err
		}
		if settingsPath != "" {
			settings, err := configurer.Load(settingsPath)
			if err != nil {
				return err
			}
			if _, err := settings.Verifier().Verify(e); err != nil {
				return err
			}
		}
		return printLine("version %d of %s is valid: %d signatures, %d organisations, %d models, %d upstreams, %d services",
			b.Version, b.Deployment, len(e.Signatures), len(b.Organisations), len(b.Models), len(b.Upstreams), len(b.Services))
	}}
}
