package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/signer"
)

func newKeysCommand() command {
	return newGroupCommand("keys", "Make the keys that sign bundles off.", newKeysNewCommand())
}

func newKeysNewCommand() command {
	var id, out string
	parser := flaggy.NewSubcommand("new")
	parser.Description = "Write a new private key and print its public half for trust.bundle_keys."
	parser.String(&id, "i", "id", "Id of the new key.")
	parser.String(&out, "o", "out", "Path of the private key file to write.")
	return command{parser: parser, run: func(context.Context) error {
		if err := requireFlag("id", id, "a name for the key"); err != nil {
			return err
		}
		if err := requireFlag("out", out, "the path of a new file"); err != nil {
			return err
		}
		key, err := signer.NewPrivateKey(id)
		if err != nil {
			return err
		}
		data, err := json.Marshal(key)
		if err != nil {
			return fmt.Errorf("encode key: %w", err)
		}
		if err := writeNewFile(out, append(data, '\n')); err != nil {
			return err
		}
		if err := json.NewEncoder(os.Stdout).Encode(key.Public()); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	}}
}
