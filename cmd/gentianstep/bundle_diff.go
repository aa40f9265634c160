package main

import (
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/comparer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

func newBundleDiffCommand() command {
	var oldPath, newPath string
	var asJSON bool
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("diff")
	parser.Description = "Print what a bundle changes against another or against the published one."
	parser.String(&newPath, "b", "bundle", "Path of the bundle, signed or not; - reads standard input.")
	parser.String(&oldPath, "a", "against", "Path of the bundle to compare with; the published one without it.")
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	parser.Bool(&asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(ctx context.Context) error {
		if err := requireFlag("bundle", newPath, "the path of a bundle"); err != nil {
			return err
		}
		e, _, err := readBundle(newPath)
		if err != nil {
			return err
		}
		before, err := baseDocument(ctx, oldPath, settingsPath)
		if err != nil {
			return err
		}
		changes, err := comparer.Compare(before, e.Document)
		if err != nil {
			return err
		}
		if asJSON {
			return printJSON(changes)
		}
		for _, c := range changes {
			if err := printLine("%s", c); err != nil {
				return err
			}
		}
		return nil
	}}
}

// baseDocument returns the document to compare with: the bundle at path, or the
// newest published bundle if path is empty. It returns an empty document if no
// bundle has been published.
func baseDocument(ctx context.Context, path, settingsPath string) ([]byte, error) {
	if path != "" {
		e, _, err := readBundle(path)
		return e.Document, err
	}
	settings, err := configurer.Load(settingsPath)
	if err != nil {
		return nil, err
	}
	e, revision, err := newestBundle(ctx, settings)
	if err != nil {
		return nil, err
	}
	if revision == 0 {
		return []byte("{}"), nil
	}
	return e.Document, nil
}
