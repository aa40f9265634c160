package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

func newBundleShowCommand() command {
	var version uint64
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("show")
	parser.Description = "Print the document of a published bundle."
	parser.UInt64(&version, "n", "version", "Version to print; the newest without it.")
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	return command{parser: parser, run: func(ctx context.Context) error {
		settings, err := configurer.Load(settingsPath)
		if err != nil {
			return err
		}
		e, err := findPublishedBundle(ctx, settings, version)
		if err != nil {
			return err
		}
		if _, err := os.Stdout.Write(e.Document); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	}}
}

// findPublishedBundle returns the published bundle with the given version, or
// the newest one if version is 0.
func findPublishedBundle(ctx context.Context, settings *configurer.Settings, version uint64) (signer.Envelope, error) {
	p, err := newPublisher(settings)
	if err != nil {
		return signer.Envelope{}, err
	}
	if version > 0 {
		r, err := p.GetVersion(ctx, version)
		if err != nil {
			return signer.Envelope{}, err
		}
		return r.Envelope, r.Err
	}
	e, revision, err := p.Head(ctx)
	if err == nil && revision == 0 {
		return signer.Envelope{}, classifier.New(classifier.NotFound, "no bundle of %s is published", settings.Deployment)
	}
	return e, err
}
