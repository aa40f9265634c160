package limiter

// maxExcess is the factor of the limit that the fleet stays within, beside one
// burst for each router, while at least half of the listed routers or half of
// the live ones are counted.
const maxExcess = 3

// maxGrowth is the factor by which a part grows at most over the present use.
const maxGrowth = 2

// view is what one router knows of one organisation when it works out its part.
type view struct {
	limit float64
	// routers is the number of routers that is believed to share the limit.
	routers int
	// own is this router's use, others that of the routers heard.
	own    float64
	others float64
	heard  int
}

// share returns this router's part of the limit in requests a second. Nobody
// gets less than an even part. The rest is divided in proportion to use, so
// that all who grow at once stay within the limit, and a part at most doubles
// at one time, since the others' use is known late. Routers that were not
// heard count as using their even part.
func (v view) share() float64 {
	even := v.limit / float64(max(v.routers, 1))
	silent := float64(max(v.routers-1-v.heard, 0)) * even
	part := even
	if known := v.own + v.others; known > 0 {
		part = v.own * max(v.limit-silent, 0) / known
	}
	return min(max(part, even), max(maxGrowth*v.own, even), v.limit)
}
