package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest is a hex-encoded hash of the content of a request.
type Digest string

// NewDigest returns the digest of a service call. Each part is hashed with its
// length, so that different parts never yield the same input.
func NewDigest(service, method, target, contentType string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(target), []byte(contentType), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// storeKey returns the key of a claim in the platform's key-value store.
func storeKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + organisation + "/" + hex.EncodeToString(sum[:])
}
