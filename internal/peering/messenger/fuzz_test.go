package messenger

import (
	"testing"
	"time"
)

// FuzzDecode checks that no bytes from a peer make the decoder panic, and that a
// decoded message can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Hello: &Hello{Deployment: "d", Node: "n", Role: Router}},
		{BundleHead: &BundleHead{Version: 1, Since: time.Unix(1, 0)}},
		{BundleRequest: &BundleRequest{}},
		{StatusRequest: &StatusRequest{}},
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
		encoded, err := Encode(m)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("decode the encoded message again: %v", err)
		}
	})
}
