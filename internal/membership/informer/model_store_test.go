package informer_test

import (
	"maps"
	"slices"
	"strings"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// modelStore is a store with the history of its present era.
type modelStore struct {
	version storer.Version
	entries map[string]storer.Entry
	history []storer.Change
}

func (s *modelStore) write(c storer.Change) {
	s.version.Revision++
	c.Era, c.Revision = s.version.Era, s.version.Revision
	if c.Removed {
		delete(s.entries, c.Key)
	} else {
		s.entries[c.Key] = c.Entry
	}
	s.history = append(s.history, c)
}

func (s *modelStore) put(key, value string) {
	s.write(storer.Change{Entry: storer.Entry{Key: key, Value: []byte(value)}})
}

func (s *modelStore) copy() modelStore {
	return modelStore{version: s.version, entries: maps.Clone(s.entries)}
}

// restore starts an era with an older copy.
func (s *modelStore) restore(older modelStore, eras uint64) {
	era := s.version.Era + eras
	*s = modelStore{version: storer.Version{Era: era, Revision: older.version.Revision}, entries: maps.Clone(older.entries)}
	for key, e := range s.entries {
		e.Era = era
		s.entries[key] = e
	}
}

// list returns the entries of a prefix.
func (s *modelStore) list(prefix string) []storer.Entry {
	var entries []storer.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.entries[key])
		}
	}
	return entries
}

// relayed is the connection of a relay to a VM.
type relayed struct {
	position informer.Position
	versions informer.Versions
	queue    []informer.Update
}
