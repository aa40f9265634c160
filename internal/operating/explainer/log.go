package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// maxLineBytes limits the length of a log line. FindInLog fails on a longer one.
const maxLineBytes = 4 << 20

// FindInLog returns the decisions for a request from a log in JSON. It skips
// lines that are not JSON objects.
func FindInLog(r io.Reader, requestID string) ([]Decision, error) {
	var found []Decision
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var d Decision
		if json.Unmarshal(lines.Bytes(), &d) != nil {
			continue
		}
		if d["event"] == Event && d.RequestID() == requestID {
			found = append(found, d)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return found, nil
}
