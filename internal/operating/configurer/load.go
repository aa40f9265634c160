package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"reflect"

	"github.com/tidwall/jsonc"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, classifier.Wrap(classifier.SettingsInvalid, err, "read settings file")
	}
	return Decode(data)
}

// Decode decodes settings from JSON, with or without comments, and validates
// them.
func Decode(data []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(jsonc.ToJSON(data)))
	var document json.RawMessage
	if err := decoder.Decode(&document); err != nil {
		return nil, classifier.Wrap(classifier.SettingsInvalid, err, "decode settings: not valid JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, classifier.New(classifier.SettingsInvalid, "settings: unexpected data after the document")
	}
	if err := checkType("", document, reflect.TypeFor[Settings]()); err != nil {
		return nil, err
	}
	s := defaults()
	if err := json.Unmarshal(document, &s); err != nil {
		return nil, classifier.Wrap(classifier.SettingsInvalid, err, "decode settings: not valid JSON")
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}
