package indexer

// Stats holds the counters of an Index.
type Stats struct {
	// Records is the number of records in use, including invalid ones.
	Records int
	// Applied and Dropped count updates. An update is dropped if it is invalid,
	// outdated or repeated, or if there is no slot for its model.
	Applied uint64
	Dropped uint64
	// Voids counts the slots whose records were all invalidated, Gaps the gaps
	// that demoted records.
	Voids uint64
	Gaps  uint64
	// Displaced counts the records that were reclaimed at the limit of records.
	Displaced uint64
}
