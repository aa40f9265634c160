package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// keyFileMode keeps a private key to its owner.
const keyFileMode = 0o600

func newKeysCommand() command {
	var id, out string
	parser := flaggy.NewSubcommand("keys")
	parser.Description = "Make a key that signs bundles off."
	parser.String(&id, "i", "id", "Id of the new key.")
	parser.String(&out, "o", "out", "Path of the private key file to write.")
	return command{parser: parser, run: func(context.Context) error {
		if id == "" || out == "" {
			return classifier.New(classifier.InvalidRequest, "keys takes --id and --out")
		}
		key, err := signer.NewPrivateKey(id)
		if err != nil {
			return err
		}
		if err := writeNew(out, key); err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(key.Public())
	}}
}

// writeNew writes the JSON form of v to a file that must not exist yet.
func writeNew(path string, v any) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer func() { _ = file.Close() }()
	if err := json.NewEncoder(file).Encode(v); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
