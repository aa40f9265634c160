// Package quarantiner decides which requests are no longer sent to upstreams, since
// upstreams crash under requests that have something in common with them.
package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// maxReadableBytes is the length up to which a fingerprint holds what it identifies.
// Longer ones hold a hash.
const maxReadableBytes = 64

// maxFingerprintBytes is the length of the longest fingerprint.
const maxFingerprintBytes = maxReadableBytes + len(requestPrefix)

// Prefixes of the fingerprints of both types.
const (
	partPrefix    = "part:"
	requestPrefix = "request:"
)

// Fingerprint identifies what requests may have in common: a part of a prompt for a
// model, or their whole content.
type Fingerprint string

// NewPart returns the fingerprint of a part of a prompt for a model.
func NewPart(model, id string) Fingerprint {
	// The length of the model separates it from the ID.
	text := strconv.Itoa(len(model)) + "/" + model + "/" + id
	if len(text) > maxReadableBytes || !isReadable(text) {
		return Fingerprint(partPrefix + hash(text))
	}
	return Fingerprint(partPrefix + text)
}

// isReadable reports whether a text from a request may stand in logs and messages.
func isReadable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// NewRequest returns the fingerprint of a request without a prompt.
func NewRequest(organisation, method, host, target string, body []byte) Fingerprint {
	return Fingerprint(requestPrefix + hash(organisation, method, host, target, string(body)))
}

// hash returns a hash that differs for different lists of texts.
func hash(texts ...string) string {
	h := sha256.New()
	for _, text := range texts {
		_, _ = h.Write([]byte(strconv.Itoa(len(text)) + "/" + text)) // never fails
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Check returns an error for a text that no VM makes.
func (f Fingerprint) Check() error {
	isPart, isRequest := strings.HasPrefix(string(f), partPrefix), strings.HasPrefix(string(f), requestPrefix)
	if !isPart && !isRequest || len(f) > maxFingerprintBytes {
		return fmt.Errorf("fingerprint %.80q is invalid", string(f))
	}
	return nil
}
