package configurer

import (
	"encoding/json"
	"os"
	"testing"
)

// FuzzDecode checks that valid settings are still valid after they are encoded
// again.
func FuzzDecode(f *testing.F) {
	seed, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"router": {"drain_delay": "1s"}}`))
	f.Add([]byte(`{"trust": {"bundle_keys": [{"id": "a"}]}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Decode(data)
		if err != nil {
			return
		}
		written, err := json.Marshal(settings)
		if err != nil {
			t.Fatalf("encode settings: %v", err)
		}
		if _, err := Decode(written); err != nil {
			t.Fatalf("decode encoded settings %s: %v", written, err)
		}
	})
}
