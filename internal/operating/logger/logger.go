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
	log.SetLevel(max(level, logrus.InfoLevel))
	log.SetFormatter(&levelFormatter{level: level, next: newFormatter(cfg.Format)})
	return log.WithFields(logrus.Fields{"node": cfg.Node, "process": cfg.Process}), nil
}

func newFormatter(format string) logrus.Formatter {
	if format == "text" {
		return &logrus.TextFormatter{FullTimestamp: true}
	}
	return &logrus.JSONFormatter{}
}

// levelFormatter writes nothing for lines below its level. Hooks see every
// line from info on, whatever is written.
type levelFormatter struct {
	level logrus.Level
	next  logrus.Formatter
}

// Format implements logrus.Formatter.
func (f *levelFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if entry.Level > f.level {
		return nil, nil
	}
	return f.next.Format(entry)
}
