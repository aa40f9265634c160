package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// defaultHistory is the number of versions listed where none is asked for.
const defaultHistory = 20

// publishedVersion is one line of the history.
type publishedVersion struct {
	Version uint64   `json:"version"`
	KeyIDs  []string `json:"key_ids"`
	// Refused says why the bundle would not be accepted now.
	Refused string `json:"refused,omitempty"`
}

func newBundleHistoryCommand() command {
	var asJSON bool
	limit := defaultHistory
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("history")
	parser.Description = "List the versions that were published or claimed, the newest first."
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	parser.Int(&limit, "n", "limit", "Longest list.")
	parser.Bool(&asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(ctx context.Context) error {
		if limit < 1 {
			return classifier.New(classifier.InvalidRequest, "--limit: got %d, takes 1 or more", limit)
		}
		versions, err := history(ctx, settingsPath, limit)
		if err != nil {
			return err
		}
		if asJSON {
			return printJSON(versions)
		}
		for _, v := range versions {
			if err := printLine("%s", v); err != nil {
				return err
			}
		}
		return nil
	}}
}

func history(ctx context.Context, settingsPath string, limit int) ([]publishedVersion, error) {
	settings, err := configurer.Load(settingsPath)
	if err != nil {
		return nil, err
	}
	p, err := newPublisher(settings)
	if err != nil {
		return nil, err
	}
	records, err := p.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	versions := make([]publishedVersion, 0, len(records))
	for _, r := range records {
		versions = append(versions, newPublishedVersion(r))
	}
	return versions, nil
}

func newPublishedVersion(r publisher.Record) publishedVersion {
	v := publishedVersion{Version: r.Version}
	for _, s := range r.Envelope.Signatures {
		v.KeyIDs = append(v.KeyIDs, s.KeyID)
	}
	if r.Err != nil {
		v.Refused = r.Err.Error()
	}
	return v
}

// String returns the version as one line for a person.
func (v publishedVersion) String() string {
	text := fmt.Sprintf("version %d, signed off by %s", v.Version, strings.Join(v.KeyIDs, ", "))
	if v.Refused != "" {
		text += ", not accepted now: " + v.Refused
	}
	return text
}
