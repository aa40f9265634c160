package publisher

import (
	"encoding/json"
	"fmt"
)

// Notice tells of the newest published version.
type Notice struct {
	Version uint64 `json:"version"`
}

// DecodeNotice reads a notice from its JSON form.
func DecodeNotice(data []byte) (Notice, error) {
	var n Notice
	if err := json.Unmarshal(data, &n); err != nil {
		return Notice{}, fmt.Errorf("decode notice: %w", err)
	}
	return n, nil
}
