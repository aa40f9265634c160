package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/logger"
)

// processFunc runs a long-lived process until ctx is cancelled.
type processFunc func(ctx context.Context, settings *configurer.Settings, log *logrus.Entry) error

func newProcessCommand(name, description string, start processFunc) command {
	path := defaultSettingsPath
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	parser.String(&path, "s", "settings", "Path of the settings file.")
	return command{parser: parser, run: func(ctx context.Context) error {
		settings, err := configurer.Load(path)
		if err != nil {
			return err
		}
		log, err := logger.New(logger.Config{
			Output:  os.Stderr,
			Format:  settings.Log.Format,
			Level:   settings.Log.Level,
			Node:    settings.Node,
			Process: name,
		})
		if err != nil {
			return err
		}
		logger.RedirectStandard(log)
		return start(ctx, settings, log)
	}}
}
