package main

import (
	"context"
	_ "embed"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// exampleBundle is a complete bundle that serves as the template of the init
// subcommand.
//
//go:embed bundle.example.json
var exampleBundle []byte

func newBundleInitCommand() command {
	var deployment, out string
	parser := flaggy.NewSubcommand("init")
	parser.Description = "Write a first bundle to edit."
	parser.String(&deployment, "d", "deployment", "Name of the deployment.")
	parser.String(&out, "o", "out", "Path of the bundle to write.")
	return command{parser: parser, run: func(context.Context) error {
		if err := requireFlag("deployment", deployment, "the deployment of the settings"); err != nil {
			return err
		}
		if err := requireFlag("out", out, "the path of a new file"); err != nil {
			return err
		}
		b, err := checker.DecodeBundle(exampleBundle)
		if err != nil {
			return err
		}
		b.Deployment = deployment
		if err := b.Check(); err != nil {
			return err
		}
		document, err := checker.EncodeBundle(b)
		if err != nil {
			return err
		}
		if err := writeNewFile(out, document); err != nil {
			return err
		}
		return printLine("%s: wrote version %d of %s", out, b.Version, deployment)
	}}
}
