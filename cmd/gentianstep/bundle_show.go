package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

func newBundleShowCommand() command {
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("show")
	parser.Description = "Print the document of the newest published bundle."
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	return command{parser: parser, run: func(ctx context.Context) error {
		settings, err := configurer.Load(settingsPath)
		if err != nil {
			return err
		}
		e, revision, err := newestBundle(ctx, settings)
		if err != nil {
			return err
		}
		if revision == 0 {
			return classifier.New(classifier.NotFound, "no bundle of %s is published", settings.Deployment)
		}
		if _, err := settings.Verifier().Verify(e); err != nil {
			return err
		}
		_, err = os.Stdout.Write(e.Document)
		return err
	}}
}
