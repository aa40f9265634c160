package checker_test

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

func TestDecodeReportsPathOfInvalidValue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	document, err := os.ReadFile("testdata/bundle.json")
	is.NoErr(err)
	_, err = checker.DecodeBundle(document)
	is.NoErr(err) // the unmodified bundle is valid
	var rows []struct {
		Set   string          `json:"set"`
		Value any             `json:"value"`
		Want  string          `json:"want"`
		Kind  classifier.Kind `json:"kind"`
	}
	scripter.Read(t, "testdata/rows.json", &rows)
	for _, row := range rows {
		t.Run(row.Set, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var root any
			is.NoErr(json.Unmarshal(document, &root))
			setPath(root, strings.Split(strings.ReplaceAll(row.Set, "[", ".["), "."), row.Value)
			modified, err := json.Marshal(root)
			is.NoErr(err)
			_, err = checker.DecodeBundle(modified)
			is.Equal(classifier.KindOf(err), row.Kind)
			is.True(strings.Contains(err.Error(), ": "+row.Want)) // the error contains the path of the value
		})
	}
}

// setPath replaces the value at a path of object keys and list indexes in a
// decoded JSON document.
func setPath(node any, path []string, value any) {
	for _, part := range path[:len(path)-1] {
		if list, ok := node.([]any); ok {
			node = list[listIndex(part)]
			continue
		}
		node = node.(map[string]any)[part]
	}
	last := path[len(path)-1]
	if list, ok := node.([]any); ok {
		list[listIndex(last)] = value
		return
	}
	node.(map[string]any)[last] = value
}

func listIndex(part string) int {
	n, _ := strconv.Atoi(strings.Trim(part, "[]"))
	return n
}

func TestDecodeRejectsMalformedDocument(t *testing.T) {
	t.Parallel()
	document, err := os.ReadFile("testdata/bundle.json")
	is.New(t).NoErr(err)
	text := string(document)
	rows := map[string]string{
		"trailing data":     text + "{}",
		"truncated":         text[:len(text)/2],
		"empty":             "",
		"a list":            "[]",
		"null":              "null",
		"duplicate key":     strings.Replace(text, `"version": 1`, `"version": 1, "version": 2`, 1),
		"duplicate in list": strings.Replace(text, `"weight": 2`, `"weight": 2, "weight": 3`, 1),
	}
	for name, modified := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := checker.DecodeBundle([]byte(modified))
			is.New(t).Equal(classifier.KindOf(err), classifier.BundleInvalid)
		})
	}
}

func FuzzDecode(f *testing.F) {
	document, err := os.ReadFile("testdata/bundle.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(document)
	f.Add([]byte(`{"deployment":"demo","version":1,"regions":[{"name":"a"}]}`))
	f.Add([]byte(`{"policy":{"selection":{"name":[{}]}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := checker.DecodeBundle(data)
		if err != nil {
			return
		}
		encoded, err := checker.EncodeBundle(b)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := checker.DecodeBundle(encoded); err != nil {
			t.Fatalf("decode the encoded form of an accepted bundle: %v", err)
		}
	})
}
