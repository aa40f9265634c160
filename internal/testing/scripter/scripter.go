// Package scripter reads the test cases of table-driven tests from JSON files.
package scripter

import (
	"encoding/json"
	"os"
	"testing"
)

// Read decodes the JSON file at path into rows, which must be a pointer. It fails
// the test immediately if the file cannot be read or decoded.
func Read(t testing.TB, path string, rows any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, rows); err != nil {
		t.Fatalf("decode %s: %v", path, err)
	}
}
