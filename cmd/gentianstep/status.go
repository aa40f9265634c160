package main

import (
	"context"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/starter"
)

func newStatusCommand() command {
	var asJSON bool
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("status")
	parser.Description = "Show which bundle is in force on each process, and since when."
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	parser.Bool(&asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(ctx context.Context) error {
		settings, err := configurer.Load(settingsPath)
		if err != nil {
			return err
		}
		inspect, err := starter.NewInspector(settings)
		if err != nil {
			return err
		}
		report := inspect.Inspect(ctx, time.Now())
		if asJSON {
			err = printJSON(report)
		} else {
			err = report.WriteTable(os.Stdout)
		}
		if err != nil {
			return err
		}
		if !report.Uniform() {
			return classifier.New(classifier.BundleStale, "the newest bundle is not in force everywhere")
		}
		return nil
	}}
}
