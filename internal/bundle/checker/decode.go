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

// Decode reads a bundle from its JSON form and checks it.
func Decode(document []byte) (*Bundle, error) {
	if err := walk(document, reflect.TypeFor[Bundle](), ""); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	var b Bundle
	if err := decoder.Decode(&b); err != nil {
		return nil, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, classifier.New(classifier.BundleInvalid, "bundle: data after the document")
	}
	if err := b.Check(); err != nil {
		return nil, err
	}
	return &b, nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return classifier.New(classifier.BundleInvalid, "%s: got %s, takes %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	return classifier.Wrap(classifier.BundleInvalid, err, "bundle: not a bundle document")
}

// Encode returns the indented JSON form of b.
func Encode(b *Bundle) ([]byte, error) {
	document, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return append(document, '\n'), nil
}
