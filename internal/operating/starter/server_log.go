package starter

import (
	"strings"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// handshakeErrorText is contained in the lines that net/http logs for failed TLS
// handshakes, such as those with a rejected client certificate.
const handshakeErrorText = "TLS handshake error"

// errorLogWriter converts the lines of an http.Server's ErrorLog to structured
// log entries. Failed TLS handshakes of peers are logged as refused peers.
type errorLogWriter struct {
	log *logrus.Entry
	// listener is the listener name to log.
	listener string
}

// Write implements io.Writer. Each call contains one line.
func (s *errorLogWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	entry := s.log.WithField("listener", s.listener).WithField("detail", text)
	if s.listener == peersListener && strings.Contains(text, handshakeErrorText) {
		entry.WithField("kind", classifier.PeerRefused).Warn("refused a peer: TLS handshake failed")
		return len(line), nil
	}
	entry.Info("HTTP server reported a connection error")
	return len(line), nil
}
