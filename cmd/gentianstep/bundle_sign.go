package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/signer"
)

func newBundleSignCommand() command {
	var bundlePath, keyPath, out string
	parser := flaggy.NewSubcommand("sign")
	parser.Description = "Sign a bundle off, or add a signature to a signed one."
	parser.String(&bundlePath, "b", "bundle", "Path of the bundle, signed or not; - reads standard input.")
	parser.String(&keyPath, "k", "key", "Path of the private key file.")
	parser.String(&out, "o", "out", "Path of the signed bundle to write.")
	return command{parser: parser, run: func(context.Context) error {
		if err := requireFlag("bundle", bundlePath, "the path of a bundle"); err != nil {
			return err
		}
		if err := requireFlag("key", keyPath, "the path of a private key file"); err != nil {
			return err
		}
		if err := requireFlag("out", out, "the path of a new file"); err != nil {
			return err
		}
		e, b, err := readBundle(bundlePath)
		if err != nil {
			return err
		}
		key, err := readPrivateKey(keyPath)
		if err != nil {
			return err
		}
		e.Sign(key.ID, key.Key())
		data, err := json.Marshal(e)
		if err != nil {
			return fmt.Errorf("encode signed bundle: %w", err)
		}
		if err := writeNewFile(out, append(data, '\n')); err != nil {
			return err
		}
		return printLine("%s: version %d of %s carries %d signatures", out, b.Version, b.Deployment, len(e.Signatures))
	}}
}

func readPrivateKey(path string) (signer.PrivateKey, error) {
	data, err := readInput(path)
	if err != nil {
		return signer.PrivateKey{}, err
	}
	return signer.DecodePrivateKey(data)
}
