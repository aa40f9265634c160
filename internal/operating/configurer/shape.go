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
	takesAddress  = "an IP number and a port, such as 192.0.2.1:8080"
	takesDuration = "a duration, such as 5s"
)

// takesText tells the form of the types that are written as text.
var takesText = map[reflect.Type]string{
	reflect.TypeFor[netip.AddrPort]():   takesAddress,
	reflect.TypeFor[checker.Duration](): takesDuration,
}

// takesKind tells the form of the other types.
var takesKind = map[reflect.Kind]string{
	reflect.String: "text",
	reflect.Int:    "a whole number",
	reflect.Bool:   "true or false",
}

// checkShape reports the first value of document that t cannot hold. Unlike
// the decoder of the standard library it names the whole path.
func checkShape(path string, document json.RawMessage, t reflect.Type) error {
	if takes, ok := takesText[t]; ok {
		return checkText(path, document, t, takes)
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
	return checkValue(path, document, t, takesKind[t.Kind()])
}

func checkFields(path string, document json.RawMessage, t reflect.Type) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(document, &fields); err != nil || fields == nil {
		return invalid(pathOr(path), "got %s, takes an object", shorten(document))
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
		if err := checkShape(join(path, name), value, field.Type); err != nil {
			return err
		}
	}
	return nil
}

func checkEntries(path string, document json.RawMessage, t reflect.Type) error {
	var entries []json.RawMessage
	if err := json.Unmarshal(document, &entries); err != nil || entries == nil {
		return invalid(path, "got %s, takes a list", shorten(document))
	}
	for i, entry := range entries {
		if err := checkShape(fmt.Sprintf("%s[%d]", path, i), entry, t.Elem()); err != nil {
			return err
		}
	}
	return nil
}

func checkText(path string, document json.RawMessage, t reflect.Type, takes string) error {
	var text string
	if err := json.Unmarshal(document, &text); err != nil || string(document) == "null" {
		return invalid(path, "got %s, takes %s", shorten(document), takes)
	}
	value, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if !ok || text == "" || value.UnmarshalText([]byte(text)) != nil {
		return invalid(path, "got %q, takes %s", text, takes)
	}
	return nil
}

func checkValue(path string, document json.RawMessage, t reflect.Type, takes string) error {
	value := reflect.New(t).Interface()
	if err := json.Unmarshal(document, value); err != nil || string(document) == "null" {
		return invalid(path, "got %s, takes %s", shorten(document), takes)
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOr(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// maxShown bounds the part of a wrong value that an error shows.
const maxShown = 40

func shorten(document json.RawMessage) string {
	text := strings.Join(strings.Fields(string(document)), " ")
	if len(text) > maxShown {
		return text[:maxShown] + "..."
	}
	return text
}

// fieldName returns the name of a field in JSON.
func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
