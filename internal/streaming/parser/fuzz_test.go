package parser_test

import (
	"strings"
	"testing"

	"gentianstep.example/gentianstep/internal/streaming/parser"
)

// FuzzReader checks that reading any stream ends without a panic and returns no
// event whose data exceeds the size limit.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"", "\n", "data: a\n\n", "id: 1\ndata: {}\n\n", "id: x\ndata: a\n\n", ": keep-alive\n\n", "data: a\n",
		"event: error\ndata: a\ndata: b\n\n", "data: [DONE]\n\n", "id: 18446744073709551616\n\n", "data\r\n\r\n",
		"data: " + strings.Repeat("x", parser.MaxEventBytes) + "\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := parser.NewReader(strings.NewReader(text))
		for range len(text) + 1 {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if len(event.Data) > parser.MaxEventBytes {
				t.Fatalf("got event with %d bytes of data, over the limit", len(event.Data))
			}
		}
		t.Fatal("got more events than the stream has bytes")
	})
}
