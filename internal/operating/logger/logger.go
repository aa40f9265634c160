// Package logger builds the structured log of a process.
package logger

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Config holds what a logger is built from.
type Config struct {
	Output io.Writer
	// Format is "json" or "text".
	Format string
	Level  string
	Node   string
	// Process is the subcommand that runs.
	Process string
}

// New returns a log whose lines carry the node and the process.
func New(cfg Config) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(cfg.Output)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{})
	if cfg.Format == "text" {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	}
	return log.WithFields(logrus.Fields{"node": cfg.Node, "process": cfg.Process}), nil
}
