package main

import (
	"context"
	"encoding/json"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/starter"
)

func newBundleCommand() command {
	return newGroupCommand("bundle", "Make, check, sign off and publish bundles.",
		newBundleInitCommand(),
		newBundleCheckCommand(),
		newBundleSignCommand(),
		newBundlePublishCommand(),
		newBundleShowCommand(),
		newBundleHistoryCommand(),
		newBundleDiffCommand(),
	)
}

// readBundle reads a signed or unsigned bundle file and validates its document.
// For an unsigned file it returns an envelope with no signatures.
func readBundle(path string) (signer.Envelope, *checker.Bundle, error) {
	data, err := readInput(path)
	if err != nil {
		return signer.Envelope{}, nil, err
	}
	e, signed := decodeEnvelope(data)
	if !signed {
		e = signer.Envelope{Document: data}
	}
	b, err := checker.DecodeBundle(e.Document)
	return e, b, err
}

// decodeEnvelope decodes a signed bundle. It returns false if data is not a
// signed bundle.
func decodeEnvelope(data []byte) (signer.Envelope, bool) {
	var e signer.Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return signer.Envelope{}, false
	}
	return e, len(e.Document) > 0
}

// newPublisher returns a publisher for the store configured in settings.
func newPublisher(settings *configurer.Settings) (*publisher.Publisher, error) {
	store, err := starter.NewStore(settings)
	if err != nil {
		return nil, err
	}
	return publisher.New(publisher.Config{Store: store, Verifier: settings.Verifier()}), nil
}

// newestBundle returns the newest published bundle and its store revision. The
// revision is 0 if no bundle has been published.
func newestBundle(ctx context.Context, settings *configurer.Settings) (signer.Envelope, uint64, error) {
	p, err := newPublisher(settings)
	if err != nil {
		return signer.Envelope{}, 0, err
	}
	return p.Head(ctx)
}
