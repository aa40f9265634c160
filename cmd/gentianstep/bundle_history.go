package main

import (
	"context"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// publishedVersion is one line of the history.
type publishedVersion struct {
	Version  uint64   `json:"version"`
	Revision uint64   `json:"revision"`
	KeyIDs   []string `json:"key_ids"`
}

func newBundleHistoryCommand() command {
	var asJSON bool
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("history")
	parser.Description = "List the published bundles that the store holds, the newest first."
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	parser.Bool(&asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(ctx context.Context) error {
		settings, err := configurer.Load(settingsPath)
		if err != nil {
			return err
		}
		versions, err := history(ctx, settings)
		if err != nil {
			return err
		}
		if asJSON {
			return printJSON(versions)
		}
		for _, v := range versions {
			if err := printLine("version %d at revision %d, signed off by %v", v.Version, v.Revision, v.KeyIDs); err != nil {
				return err
			}
		}
		return nil
	}}
}

func history(ctx context.Context, settings *configurer.Settings) ([]publishedVersion, error) {
	e, revision, err := newestBundle(ctx, settings)
	if err != nil || revision == 0 {
		return []publishedVersion{}, err
	}
	b, err := settings.Verifier().Verify(e)
	if err != nil {
		return nil, err
	}
	v := publishedVersion{Version: b.Version, Revision: revision}
	for _, s := range e.Signatures {
		v.KeyIDs = append(v.KeyIDs, s.KeyID)
	}
	return []publishedVersion{v}, nil
}
