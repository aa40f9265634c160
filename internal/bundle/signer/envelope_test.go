package signer_test

import (
	"testing"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

func FuzzDecodeEnvelope(f *testing.F) {
	f.Add([]byte(`{"document":"e30=","signatures":[{"key_id":"ops-1","value":"AA=="}]}`))
	f.Add([]byte(`{"document":null,"signatures":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := signer.DecodeEnvelope(data)
		if err != nil {
			if classifier.KindOf(err) != classifier.BundleUnsigned {
				t.Fatalf("got error %v, want kind bundle_unsigned", err)
			}
			return
		}
		if _, err := (signer.Verifier{Deployment: "demo"}).Verify(e); err == nil {
			t.Fatal("envelope verified without a trusted key")
		}
	})
}
