// Package comparer computes the diff of two JSON documents, such as bundles.
package comparer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Change is a value that was added, removed or modified.
type Change struct {
	// Path is the path of the value. List items are identified by their "name"
	// field, or else by their index.
	Path string `json:"path"`
	// Before and After are JSON; empty if the document does not have the value.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as a line of a diff.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
}

// Compare returns the changes from the JSON document before to after, sorted by
// path.
func Compare(before, after []byte) ([]Change, error) {
	oldValues, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newValues, err := flatten(after)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(oldValues)
	maps.Copy(paths, newValues)
	changes := []Change{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if oldValues[path] != newValues[path] {
			changes = append(changes, Change{Path: path, Before: oldValues[path], After: newValues[path]})
		}
	}
	return changes, nil
}

// flatten returns the scalars of a JSON document, encoded as JSON, by path.
func flatten(document []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var root any
	if err := decoder.Decode(&root); err != nil {
		return nil, fmt.Errorf("decode document to compare: %w", err)
	}
	scalars := make(map[string]string)
	if err := collectScalars(scalars, "", root); err != nil {
		return nil, err
	}
	return scalars, nil
}

// collectScalars adds the scalars within value to scalars.
func collectScalars(scalars map[string]string, path string, value any) error {
	switch v := value.(type) {
	case map[string]any:
		for key, child := range v {
			if err := collectScalars(scalars, joinPath(path, key), child); err != nil {
				return err
			}
		}
		return nil
	case []any:
		for i, child := range v {
			if err := collectScalars(scalars, fmt.Sprintf("%s[%s]", path, itemName(i, child)), child); err != nil {
				return err
			}
		}
		return nil
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode value to compare: %w", err)
	}
	scalars[path] = string(encoded)
	return nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemName returns the name of a list item, or its index if it has no name.
func itemName(i int, item any) string {
	fields, _ := item.(map[string]any)
	if name, ok := fields["name"].(string); ok {
		return name
	}
	return fmt.Sprint(i)
}
