// Package logger creates the structured logger of a process.
package logger

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Config configures a logger.
type Config struct {
	Output io.Writer
	// Format is "json" or "text".
	Format string
	// Level is the minimum level of written lines, as in logrus.ParseLevel.
	Level string
	Node  string
	// Process is the name of the running subcommand.
	Process string
}

// New returns a logger whose lines have the fields node and process.
func New(cfg Config) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
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

// levelFormatter formats lines below its level as nothing. The level is applied
// here and not in the logger because hooks must receive every line from info up,
// also if it is not written.
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
