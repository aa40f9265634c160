package main

import (
	"bytes"
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// publishedBundle is the JSON output of the publish subcommand.
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
		if err := requireFlag("bundle", signedPath, "the path of a signed bundle"); err != nil {
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
		if err := publish(ctx, p, e, b.Version); err != nil {
			return err
		}
		if asJSON {
			return printJSON(publishedBundle{Deployment: b.Deployment, Version: b.Version})
		}
		return printLine("version %d of %s is published", b.Version, b.Deployment)
	}}
}

// publish makes e the newest bundle. It is idempotent: it also succeeds if an
// interrupted earlier run published e and a newer bundle has been published
// since.
func publish(ctx context.Context, p *publisher.Publisher, e signer.Envelope, version uint64) error {
	err := p.Publish(ctx, e)
	if !classifier.IsKind(err, classifier.BundleConflict) {
		return err
	}
	newest, newestErr := newestVersion(ctx, p)
	if newestErr != nil || newest < version {
		return err
	}
	earlier, earlierErr := p.GetVersion(ctx, version)
	if earlierErr == nil && bytes.Equal(earlier.Envelope.Document, e.Document) {
		return nil
	}
	return err
}

// newestVersion returns the version of the newest published bundle.
func newestVersion(ctx context.Context, p *publisher.Publisher) (uint64, error) {
	head, _, err := p.Head(ctx)
	if err != nil {
		return 0, err
	}
	b, err := checker.DecodeBundle(head.Document)
	if err != nil {
		return 0, err
	}
	return b.Version, nil
}
