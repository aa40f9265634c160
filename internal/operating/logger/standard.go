package logger

import (
	stdlog "log"
	"strings"

	"github.com/sirupsen/logrus"
)

// maxDetailBytes bounds the text of a line of the standard logger. HTTP clients quote the
// bytes that an upstream has sent without a request.
const maxDetailBytes = 200

// RedirectStandard writes the lines of the standard logger, which libraries use, to log.
func RedirectStandard(log *logrus.Entry) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&standardWriter{log: log})
}

// standardWriter converts the lines of the standard logger to structured log entries.
type standardWriter struct{ log *logrus.Entry }

// Write implements io.Writer. Each call contains one line.
func (w *standardWriter) Write(line []byte) (int, error) {
	detail := strings.TrimSpace(string(line[:min(len(line), maxDetailBytes)]))
	w.log.WithFields(logrus.Fields{"event": "library_message", "detail": detail}).Info("a library has logged a message")
	return len(line), nil
}
