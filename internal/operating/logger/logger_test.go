package logger

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// lineCounter is a hook that counts the lines it receives.
type lineCounter struct {
	lines int
}

func (c *lineCounter) Levels() []logrus.Level { return logrus.AllLevels }

func (c *lineCounter) Fire(*logrus.Entry) error {
	c.lines++
	return nil
}

func TestHooksReceiveLinesBelowLevel(t *testing.T) {
	t.Parallel()
	for level, written := range map[string]int{"debug": 3, "info": 2, "warning": 1, "error": 0} {
		t.Run(level, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var output strings.Builder
			log, err := New(Config{Output: &output, Format: "json", Level: level, Node: "vm-1", Process: "router"})
			is.NoErr(err)
			c := &lineCounter{}
			log.Logger.AddHook(c)
			log.Debug("a")
			log.Info("b")
			log.Warn("c")
			is.Equal(strings.Count(output.String(), "\n"), written)
			is.True(c.lines >= 2) // hooks receive every line from info up
		})
	}
}
