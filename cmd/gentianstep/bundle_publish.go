package main

import (
	"bytes"
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// publishedBundle is what the publish subcommand prints for scripts.
type publishedBundle struct {
	Deployment string `json:"deployment"`
	Version    uint64 `json:"version"`
}

func newBundlePublishCommand() command {
	var signedPath string
	var asJSON bool
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("publish")
	parser.Description = "Publish a signed bundle. A repeat after an interruption is safe."
	parser.String(&signedPath, "b", "bundle", "Path of the signed bundle; - reads standard input.")
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	parser.Bool(&asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(ctx context.Context) error {
		if err := require("bundle", signedPath, "the path of a signed bundle"); err != nil {
			return err
		}
		settings, err := configurer.Load(settingsPath)
		if err != nil {
			return err
		}
		e, b, err := readBundle(signedPath)
		if err != nil {
			return err
		}
		p, err := newPublisher(settings)
		if err != nil {
			return err
		}
		if err := publish(ctx, p, e); err != nil {
			return err
		}
		if asJSON {
			return printJSON(publishedBundle{Deployment: b.Deployment, Version: b.Version})
		}
		return printLine("version %d of %s is published", b.Version, b.Deployment)
	}}
}

// publish makes e the newest bundle. Where the outcome is open, or e conflicts
// with what is published, it reads back: finding e there means that this or an
// earlier try took effect.
func publish(ctx context.Context, p *publisher.Publisher, e signer.Envelope) error {
	err := p.Publish(ctx, e)
	if !classifier.IsKind(err, classifier.BundleConflict) && !classifier.IsKind(err, classifier.StoreUnavailable) {
		return err
	}
	head, _, headErr := p.Head(ctx)
	if headErr == nil && bytes.Equal(head.Document, e.Document) {
		return nil
	}
	return err
}
