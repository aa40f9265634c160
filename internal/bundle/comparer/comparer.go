// Package comparer lists what differs between two bundle documents.
package comparer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Change is one value that two documents do not share.
type Change struct {
	// Path names the value; entries of lists go by their name where they have one.
	Path string `json:"path"`
	// Before and After are JSON, empty where that document lacks the value.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line of a diff.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
}

// Compare returns the changes from one JSON document to another, by path.
func Compare(before, after []byte) ([]Change, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	current, err := flatten(after)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(old)
	maps.Copy(paths, current)
	changes := []Change{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if old[path] != current[path] {
			changes = append(changes, Change{Path: path, Before: old[path], After: current[path]})
		}
	}
	return changes, nil
}

// flatten returns the JSON form of every single value of document by its path.
func flatten(document []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var root any
	if err := decoder.Decode(&root); err != nil {
		return nil, fmt.Errorf("compare documents: %w", err)
	}
	leaves := make(map[string]string)
	if err := visit(leaves, "", root); err != nil {
		return nil, err
	}
	return leaves, nil
}

func visit(leaves map[string]string, path string, value any) error {
	switch v := value.(type) {
	case map[string]any:
		for key, child := range v {
			if err := visit(leaves, join(path, key), child); err != nil {
				return err
			}
		}
		return nil
	case []any:
		for i, child := range v {
			if err := visit(leaves, fmt.Sprintf("%s[%s]", path, entryName(i, child)), child); err != nil {
				return err
			}
		}
		return nil
	}
	leaf, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("compare documents: %w", err)
	}
	leaves[path] = string(leaf)
	return nil
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// entryName returns the name of a list entry, its number where it has none.
func entryName(i int, entry any) string {
	fields, _ := entry.(map[string]any)
	if name, ok := fields["name"].(string); ok {
		return name
	}
	return fmt.Sprint(i)
}
