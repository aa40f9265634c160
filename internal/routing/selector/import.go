package selector

// BlocksToImport returns the number of leading blocks that c should import for a request
// of the given number of blocks. It is 0 if an import is not possible, not faster
// than prefill, or adds nothing to the blocks that c holds.
func (c *Candidate) BlocksToImport(blocks int) int {
	if c.ImportPerBlock <= 0 || c.ImportPerBlock >= prefillPerBlock(c) {
		return 0
	}
	n := min(c.ImportableBlocks, blocks)
	if n <= c.HeldBlocks {
		return 0
	}
	return n
}
