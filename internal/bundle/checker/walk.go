package checker

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkDocument returns an error for the first object key of data that is unknown
// to t, differs from the field name in case, or is duplicated, all of which
// encoding/json accepts silently, and for the first scalar of the wrong type.
// Malformed JSON, and any other value in place of an object or a list, is left
// to the decoder.
func checkDocument(data []byte, t reflect.Type, path string) error {
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
		return checkValue(data, t, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkObject(data, t, path)
	case reflect.Slice:
		return checkList(data, t, path)
	default:
		return checkValue(data, t, path)
	}
}

func checkValue(data []byte, t reflect.Type, path string) error {
	if json.Unmarshal(data, reflect.New(t).Interface()) != nil {
		return invalid(path, "got %.40s, want %s", data, t)
	}
	return nil
}

func checkObject(data []byte, t reflect.Type, path string) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if open, err := decoder.Token(); err != nil || open != json.Delim('{') {
		return nil
	}
	fields := fieldTypes(t)
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil
		}
		key, _ := token.(string)
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		field, known := fields[key]
		if !known {
			return classifier.New(classifier.BundleUnknownField, "%s: unknown field", keyPath)
		}
		if seen[key] {
			return invalid(keyPath, "duplicate key")
		}
		seen[key] = true
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return nil
		}
		if err := checkDocument(value, field, keyPath); err != nil {
			return err
		}
	}
	return nil
}

func checkList(data []byte, t reflect.Type, path string) error {
	var items []json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		return nil
	}
	for i, item := range items {
		if err := checkDocument(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// fieldTypes returns the types of the fields of t by JSON name.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}
