package starter

import (
	"strings"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// handshakeError marks what the HTTP server says of refused certificates.
const handshakeError = "TLS handshake error"

// serverLog takes what an HTTP server says of its connections.
type serverLog struct {
	log *logrus.Entry
	// listener is the name of the server's listener.
	listener string
}

// Write implements io.Writer; each call is one line.
func (s *serverLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	entry := s.log.WithField("listener", s.listener).WithField("detail", text)
	if s.listener == peersListener && strings.Contains(text, handshakeError) {
		entry.WithField("kind", classifier.PeerRefused).Warn("peer refused")
		return len(line), nil
	}
	entry.Info("connection failed")
	return len(line), nil
}
