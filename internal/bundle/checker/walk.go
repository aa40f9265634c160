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

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// walk reports the first object key of data that t does not have, that is
// written in other letters, or that is given twice, and the first single value
// of a wrong type. What is no object or list is left to the decoder.
func walk(data []byte, t reflect.Type, path string) error {
	if reflect.PointerTo(t).Implements(textType) {
		return walkValue(data, t, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return walkObject(data, t, path)
	case reflect.Slice:
		return walkList(data, t, path)
	default:
		return walkValue(data, t, path)
	}
}

func walkValue(data []byte, t reflect.Type, path string) error {
	if json.Unmarshal(data, reflect.New(t).Interface()) != nil {
		return invalid(path, "got %.40s, takes %s", data, t)
	}
	return nil
}

func walkObject(data []byte, t reflect.Type, path string) error {
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
		at := strings.TrimPrefix(path+"."+key, ".")
		field, known := fields[key]
		if !known {
			return classifier.New(classifier.BundleUnknownField, "%s: unknown field", at)
		}
		if seen[key] {
			return invalid(at, "given twice")
		}
		seen[key] = true
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return nil
		}
		if err := walk(value, field, at); err != nil {
			return err
		}
	}
	return nil
}

func walkList(data []byte, t reflect.Type, path string) error {
	var items []json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		return nil
	}
	for i, item := range items {
		if err := walk(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// fieldTypes maps the JSON names of a struct's fields to their types.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}
