package messenger

import (
	"testing"
	"time"
)

// FuzzDecode checks that no bytes from a peer break the decoder, and that a
// message that is accepted is accepted again in the form in which it is sent.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Hello: &Hello{Deployment: "d", Node: "n", Role: Router}},
		{BundleHead: &BundleHead{Version: 1, Since: time.Unix(1, 0)}},
		{BundleWant: &BundleWant{}},
		{StatusWant: &StatusWant{}},
		{Status: &Status{Nodes: []NodeStatus{{Node: "n", Role: Controller, BundleVersion: 1}}}},
	} {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		sent, err := Encode(m)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		if _, err := Decode(sent); err != nil {
			t.Fatalf("decode what was encoded: %v", err)
		}
	})
}
