package sequencer_test

import (
	"fmt"
	"strings"
	"testing"

	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/streaming/sequencer"
)

// BenchmarkChunk measures parsing and checking one chunk of a stream.
func BenchmarkChunk(b *testing.B) {
	const chunks = 1000
	var stream strings.Builder
	for n := range chunks {
		fmt.Fprintf(&stream, "id: %d\ndata: {\"id\":\"r\",\"object\":\"text_completion\",\"model\":\"m\",\"choices\":[{\"index\":0,\"text\":\"w1234 \",\"finish_reason\":null}]}\n\n", n+1)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for processed := 0; processed < b.N; processed += chunks {
		events := parser.NewReader(strings.NewReader(stream.String()))
		s := sequencer.New(sequencer.Config{RequestID: "r", MaxTokens: chunks})
		for range chunks {
			event, err := events.Next()
			if err != nil {
				b.Fatal(err)
			}
			if _, err := s.CheckEvent(event); err != nil {
				b.Fatal(err)
			}
		}
	}
}
