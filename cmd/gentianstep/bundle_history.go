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

// defaultHistoryLimit is the number of versions listed without --limit.
const defaultHistoryLimit = 20

// publishedVersion is one entry of the bundle history.
type publishedVersion struct {
	Version uint64   `json:"version"`
	KeyIDs  []string `json:"key_ids"`
	// RejectionReason is the error of verifying the bundle now, for example
	// because a signing key is no longer trusted. It is empty if the bundle
	// is valid.
	RejectionReason string `json:"refused,omitempty"`
}

func newBundleHistoryCommand() command {
	var asJSON bool
	limit := defaultHistoryLimit
	settingsPath := defaultSettingsPath
	parser := flaggy.NewSubcommand("history")
	parser.Description = "List the versions that were published or claimed, the newest first."
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	parser.Int(&limit, "n", "limit", "Longest list.")
	parser.Bool(&asJSON, "j", "json", "Print JSON.")
	return command{parser: parser, run: func(ctx context.Context) error {
		if limit < 1 {
			return classifier.New(classifier.InvalidRequest, "--limit: got %d, want 1 or more", limit)
		}
		versions, err := readHistory(ctx, settingsPath, limit)
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

func readHistory(ctx context.Context, settingsPath string, limit int) ([]publishedVersion, error) {
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
		v.RejectionReason = r.Err.Error()
	}
	return v
}

// String formats the version as one line of human-readable output.
func (v publishedVersion) String() string {
	text := fmt.Sprintf("version %d, signed off by %s", v.Version, strings.Join(v.KeyIDs, ", "))
	if v.RejectionReason != "" {
		text += ", not accepted now: " + v.RejectionReason
	}
	return text
}
