package limiter

// maxOvershoot bounds the total rate of the fleet as a multiple of the limit, not
// counting one burst per router. The bound holds while each router counts at
// least half of the listed or half of the live routers.
const maxOvershoot = 3

// maxGrowth bounds a new share as a multiple of the current usage.
const maxGrowth = 2

// shareInputs holds the values from which a router computes its share of the
// limit of one organisation.
type shareInputs struct {
	limit float64
	// routers is the assumed number of routers that share the limit.
	routers int
	// own is this router's usage, others the total usage of the reporting
	// routers, both in requests per second. reporting is the number of other
	// routers with a current report.
	own       float64
	others    float64
	reporting int
}

// share returns this router's share of the limit in requests per second. A router
// gets at least an even share. Above that, the limit is divided in proportion to
// usage, so that routers whose demand grows at the same time stay within the
// limit. A share is at most double the current usage, because the usage of
// other routers is reported with a delay. Routers without a report count as
// using their even share.
func (in shareInputs) share() float64 {
	evenShare := in.limit / float64(max(in.routers, 1))
	unreported := float64(max(in.routers-1-in.reporting, 0)) * evenShare
	proportional := evenShare
	if total := in.own + in.others; total > 0 {
		proportional = in.own * max(in.limit-unreported, 0) / total
	}
	return min(max(proportional, evenShare), max(maxGrowth*in.own, evenShare), in.limit)
}
