package selector

// live returns the indexes of the candidates that may be chosen, in the memory
// of buf. Suspect candidates are left out unless their share is above
// maxEjected, since then health is taken as unknown.
func live(buf []int32, candidates []Candidate, maxEjected float64) []int32 {
	buf = buf[:0]
	for i := range candidates {
		if !candidates[i].Suspect {
			buf = append(buf, int32(i))
		}
	}
	suspects := len(candidates) - len(buf)
	if len(buf) > 0 && float64(suspects) <= maxEjected*float64(len(candidates)) {
		return buf
	}
	buf = buf[:0]
	for i := range candidates {
		buf = append(buf, int32(i))
	}
	return buf
}

// sameRegion returns the indexes of the candidates of region, in the memory of
// buf, or all of them where the region has none.
func sameRegion(buf, indexes []int32, candidates []Candidate, region string) []int32 {
	buf = buf[:0]
	for _, i := range indexes {
		if candidates[i].Region == region {
			buf = append(buf, i)
		}
	}
	if len(buf) == 0 {
		return indexes
	}
	return buf
}
