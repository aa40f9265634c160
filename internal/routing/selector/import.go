package selector

// Import returns the number of leading blocks, of a request with so many, that
// c should import rather than compute. It is 0 where an import does not pay.
func (c *Candidate) Import(blocks int) int {
	if c.ImportPerBlock <= 0 || c.ImportPerBlock >= prefillPerBlock(c) {
		return 0
	}
	n := min(c.ImportableBlocks, blocks)
	if n <= c.HeldBlocks {
		return 0
	}
	return n
}
