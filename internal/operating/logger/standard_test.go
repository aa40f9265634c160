package logger_test

import (
	"bytes"
	stdlog "log"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/logger"
)

// TestStandardLoggerIsBounded guards against lines in another format that quote all that an
// upstream has sent. It sets the standard logger of the process, so that it does not run
// beside others.
func TestStandardLoggerIsBounded(t *testing.T) { //nolint:paralleltest // see above
	is := is.New(t)
	var out bytes.Buffer
	log, err := logger.New(logger.Config{Output: &out, Format: "json", Level: "info"})
	is.NoErr(err)
	logger.RedirectStandard(log)
	stdlog.Printf("Unsolicited response %s", strings.Repeat("x", 4096))
	is.True(strings.HasPrefix(out.String(), "{"))
	is.True(strings.Contains(out.String(), `"event":"library_message"`))
	is.True(out.Len() < 512)
}
