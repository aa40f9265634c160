package generator

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Token returns token n of the expected answer to prompt. It is deterministic,
// so that a test can check that an answer belongs to its request and is complete.
func Token(prompt, weightsVersion string, n int) string {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	_, _ = d.WriteString(weightsVersion)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(n))
	_, _ = d.Write(number[:])
	return fmt.Sprintf("w%04x ", d.Sum64()&0xffff)
}
