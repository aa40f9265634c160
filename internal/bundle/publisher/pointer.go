package publisher

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// Pointer is the content of the head: the newest published version. It is not
// signed, but the bundle of that version is.
type Pointer struct {
	Version uint64 `json:"version"`
	// DocumentSHA256 is the SHA-256 sum of the bundle document in hexadecimal. It is empty
	// in heads that earlier builds have written.
	DocumentSHA256 string `json:"document_sha256,omitempty"`
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
	if sum, err := hex.DecodeString(p.DocumentSHA256); err != nil || len(sum) != sha256.Size && len(sum) != 0 {
		return Pointer{}, fmt.Errorf("decode head: %q is no SHA-256 sum", p.DocumentSHA256)
	}
	return p, nil
}
