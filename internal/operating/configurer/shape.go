package configurer

import (
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

const (
	addressFormat  = "an IP address and port, such as 192.0.2.1:8080"
	durationFormat = "a duration, such as 5s"
)

// textFormats describes the format of types that are encoded as JSON strings.
var textFormats = map[reflect.Type]string{
	reflect.TypeFor[netip.AddrPort]():   addressFormat,
	reflect.TypeFor[checker.Duration](): durationFormat,
}

// kindFormats describes the format of the other types by their kind.
var kindFormats = map[reflect.Kind]string{
	reflect.String: "text",
	reflect.Int:    "a whole number",
	reflect.Bool:   "true or false",
}

// checkType returns an error for the first value in document that does not fit
// type t. Unlike the decoder of the standard library it reports the whole path
// of the value and rejects unknown fields, null and names in the wrong case.
func checkType(path string, document json.RawMessage, t reflect.Type) error {
	if want, ok := textFormats[t]; ok {
		return checkText(path, document, t, want)
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkFields(path, document, t)
	case reflect.Slice:
		if t.Elem().Kind() != reflect.Uint8 {
			return checkEntries(path, document, t)
		}
		return checkValue(path, document, t, "text in base64")
	}
	return checkValue(path, document, t, kindFormats[t.Kind()])
}

// checkFields checks that document is an object with known fields only.
func checkFields(path string, document json.RawMessage, t reflect.Type) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(document, &fields); err != nil || fields == nil {
		return invalid(pathOrRoot(path), "got %s, want an object", shorten(document))
	}
	known := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		known[fieldName(field)] = field.Type
	}
	for name := range fields {
		if _, ok := known[name]; !ok {
			return invalid(join(path, name), "unknown field")
		}
	}
	for field := range t.Fields() {
		name := fieldName(field)
		value, ok := fields[name]
		if !ok {
			continue
		}
		if err := checkType(join(path, name), value, field.Type); err != nil {
			return err
		}
	}
	return nil
}

// checkEntries checks that document is a list of valid entries.
func checkEntries(path string, document json.RawMessage, t reflect.Type) error {
	var entries []json.RawMessage
	if err := json.Unmarshal(document, &entries); err != nil || entries == nil {
		return invalid(path, "got %s, want a list", shorten(document))
	}
	for i, entry := range entries {
		if err := checkType(fmt.Sprintf("%s[%d]", path, i), entry, t.Elem()); err != nil {
			return err
		}
	}
	return nil
}

// checkText checks a JSON string that t decodes with UnmarshalText.
func checkText(path string, document json.RawMessage, t reflect.Type, want string) error {
	var text string
	if err := json.Unmarshal(document, &text); err != nil || string(document) == "null" {
		return invalid(path, "got %s, want %s", shorten(document), want)
	}
	value, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if !ok || text == "" || value.UnmarshalText([]byte(text)) != nil {
		return invalid(path, "got %q, want %s", text, want)
	}
	return nil
}

// checkValue checks a value that encoding/json decodes.
func checkValue(path string, document json.RawMessage, t reflect.Type, want string) error {
	value := reflect.New(t).Interface()
	if err := json.Unmarshal(document, value); err != nil || string(document) == "null" {
		return invalid(path, "got %s, want %s", shorten(document), want)
	}
	return nil
}

// join returns the path of the field name of the object at path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// pathOrRoot returns path, or the name of the whole document if path is empty.
func pathOrRoot(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// maxShown is the maximum length in bytes of an invalid value in an error.
const maxShown = 40

// shorten returns document on one line, cut to maxShown bytes.
func shorten(document json.RawMessage) string {
	text := strings.Join(strings.Fields(string(document)), " ")
	if len(text) > maxShown {
		return text[:maxShown] + "..."
	}
	return text
}

// fieldName returns the JSON name of a struct field.
func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
