package configurer

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// rejection is a test case: a change to valid settings and the error that it
// must cause.
type rejection struct {
	Name   string         `json:"name"`
	Set    map[string]any `json:"set"`
	Remove []string       `json:"remove"`
	// Text replaces the whole file if neither Set nor Remove is given.
	Text  string `json:"text"`
	Error string `json:"error"`
}

func TestRejectsInvalidSettings(t *testing.T) {
	t.Parallel()
	var rows []rejection
	readJSON(t, "testdata/refusals.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, err := Decode(row.document(t))
			is.True(err != nil)
			is.True(classifier.IsKind(err, classifier.SettingsInvalid))
			if !strings.Contains(err.Error(), row.Error) {
				t.Errorf("got error %q, want it to contain %q", err, row.Error)
			}
		})
	}
}

func (r rejection) document(t *testing.T) []byte {
	t.Helper()
	if r.Set == nil && r.Remove == nil {
		return []byte(r.Text)
	}
	var settings map[string]any
	readJSON(t, "testdata/settings.json", &settings)
	for path, value := range r.Set {
		parent, name := locateField(settings, path)
		parent[name] = value
	}
	for _, path := range r.Remove {
		parent, name := locateField(settings, path)
		delete(parent, name)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// locateField returns the object that holds the value at path and the name of
// its field.
func locateField(settings map[string]any, path string) (map[string]any, string) {
	section, name, nested := strings.Cut(path, ".")
	if !nested {
		return settings, path
	}
	parent, _ := settings[section].(map[string]any)
	return parent, name
}

func TestDefaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, err := Load("testdata/settings.json")
	is.NoErr(err)
	is.Equal(s.Router.DrainDelay, defaultRouter().DrainDelay)
	is.Equal(s.Router.MaxConnections, defaultRouter().MaxConnections)
	is.Equal(s.Trust.Threshold, 1)
	is.Equal(s.Log.Level, "info")
}

func TestExampleNamesEveryField(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/settings.example.jsonc")
	is.NoErr(err)
	var lines []string // without comments
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(strings.TrimSpace(line), "//") {
			lines = append(lines, line)
		}
	}
	document := []byte(strings.Join(lines, ""))
	_, err = Decode(document)
	is.NoErr(err)
	var example any
	is.NoErr(json.Unmarshal(document, &example))
	for _, path := range missingFields("", example, reflect.TypeFor[Settings]()) {
		t.Errorf("docs/settings.example.jsonc does not name %s", path)
	}
}

// missingFields returns the paths of the fields of t that example lacks.
func missingFields(path string, example any, t reflect.Type) []string {
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct && textFormats[t.Elem()] == "" {
		entries, _ := example.([]any)
		if len(entries) == 0 {
			return []string{path + "[0]"}
		}
		return missingFields(path+"[0]", entries[0], t.Elem())
	}
	if t.Kind() != reflect.Struct || textFormats[t] != "" {
		return nil
	}
	fields, _ := example.(map[string]any)
	var paths []string
	for field := range t.Fields() {
		name := fieldName(field)
		value, ok := fields[name]
		if !ok {
			paths = append(paths, join(path, name))
			continue
		}
		paths = append(paths, missingFields(join(path, name), value, field.Type)...)
	}
	return paths
}

func readJSON(t *testing.T, path string, v any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		t.Fatal(err)
	}
}
