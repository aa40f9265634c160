package indexer

// Stats counts what an Index did.
type Stats struct {
	// Records is the number of records in use, void ones included.
	Records int
	// Applied and Dropped count updates; dropped ones were old or replayed.
	Applied uint64
	Dropped uint64
	// Voids counts beliefs that ended at once, Gaps those that were demoted.
	Voids uint64
	Gaps  uint64
	// Displaced counts records that made room for others.
	Displaced uint64
}
