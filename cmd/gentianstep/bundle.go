package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/platform/dialer"
)

func newSignCommand() command {
	var bundlePath, keyPath, out string
	parser := flaggy.NewSubcommand("sign")
	parser.Description = "Sign a bundle off."
	parser.String(&bundlePath, "b", "bundle", "Path of the bundle.")
	parser.String(&keyPath, "k", "key", "Path of the private key file.")
	parser.String(&out, "o", "out", "Path of the signed bundle to write.")
	return command{parser: parser, run: func(context.Context) error {
		document, err := os.ReadFile(bundlePath)
		if err != nil {
			return fmt.Errorf("read bundle: %w", err)
		}
		if _, err := checker.Decode(document); err != nil {
			return err
		}
		data, err := os.ReadFile(keyPath)
		if err != nil {
			return fmt.Errorf("read key: %w", err)
		}
		key, err := signer.DecodePrivateKey(data)
		if err != nil {
			return err
		}
		e := signer.Envelope{Document: document}
		e.Sign(key.ID, key.Key())
		return writeNew(out, e)
	}}
}

func newPublishCommand() command {
	var signedPath string
	settingsPath := "settings.json"
	parser := flaggy.NewSubcommand("publish")
	parser.Description = "Publish a signed bundle."
	parser.String(&signedPath, "b", "bundle", "Path of the signed bundle.")
	parser.String(&settingsPath, "s", "settings", "Path of the settings file.")
	return command{parser: parser, run: func(ctx context.Context) error {
		settings, err := configurer.Load(settingsPath)
		if err != nil {
			return err
		}
		data, err := os.ReadFile(signedPath)
		if err != nil {
			return fmt.Errorf("read signed bundle: %w", err)
		}
		var e signer.Envelope
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("read signed bundle: %w", err)
		}
		store := dialer.New(dialer.Config{Address: settings.Platform.Address, Client: http.DefaultClient})
		p := publisher.New(publisher.Config{Store: store, Verifier: settings.Verifier()})
		return p.Publish(ctx, e)
	}}
}
