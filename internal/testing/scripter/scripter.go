// Package scripter reads the rows that scripted tests are made of.
package scripter

import (
	"encoding/json"
	"os"
	"testing"
)

// Read reads the JSON file at path into rows, a pointer, and ends the test
// where it cannot.
func Read(t testing.TB, path string, rows any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, rows); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
}
