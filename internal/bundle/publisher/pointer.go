package publisher

import (
	"encoding/json"
	"fmt"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// Pointer is the content of the head: the newest published version. It is not
// signed, but the bundle of that version is.
type Pointer struct {
	Version uint64 `json:"version"`
}

// DecodePointer parses and validates a pointer from JSON.
func DecodePointer(data []byte) (Pointer, error) {
	var p Pointer
	if err := json.Unmarshal(data, &p); err != nil {
		return Pointer{}, fmt.Errorf("decode head: %w", err)
	}
	if p.Version == 0 || p.Version > checker.MaxVersion {
		return Pointer{}, fmt.Errorf("decode head: version %d is out of range", p.Version)
	}
	return p, nil
}
