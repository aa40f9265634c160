package checker

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// DecodeBundle parses a bundle from JSON and validates it.
func DecodeBundle(document []byte) (*Bundle, error) {
	if err := checkDocument(document, reflect.TypeFor[Bundle](), ""); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	var b Bundle
	if err := decoder.Decode(&b); err != nil {
		return nil, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, classifier.New(classifier.BundleInvalid, "bundle: unexpected data after the document")
	}
	if err := b.Check(); err != nil {
		return nil, err
	}
	return &b, nil
}

// decodeError converts an error of encoding/json to a BundleInvalid error.
func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return classifier.New(classifier.BundleInvalid, "%s: got %s, want %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	return classifier.Wrap(classifier.BundleInvalid, err, "bundle: decode document")
}

// EncodeBundle returns b as indented JSON with a final newline.
func EncodeBundle(b *Bundle) ([]byte, error) {
	document, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return append(document, '\n'), nil
}
