package loader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/standin/loader"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// arrivalRow is one load with the expected properties of its arrivals.
type arrivalRow struct {
	Name     string  `json:"name"`
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	Seconds  int     `json:"seconds"`
	Routers  int     `json:"routers"`
	// MinHomeShare is the minimum share of requests that arrive in their home region.
	MinHomeShare float64 `json:"least_home"`
	// BatchRange is the expected range of the share of batch requests.
	BatchRange [2]float64 `json:"batch"`
}

func (r arrivalRow) make(t *testing.T) (loader.Workload, []loader.Arrival) {
	t.Helper()
	w, err := loader.Find(r.Workload)
	is.New(t).NoErr(err)
	return w, loader.Arrivals(w, r.Seed, r.Rate, time.Duration(r.Seconds)*time.Second, r.Routers)
}

func TestArrivals(t *testing.T) {
	t.Parallel()
	var rows []arrivalRow
	scripter.Read(t, "testdata/arrivals.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w, list := row.make(t)
			_, repeated := row.make(t)
			is.Equal(list, repeated) // equal seeds give equal loads
			offered := row.Rate * float64(row.Seconds)
			is.True(float64(len(list)) > 0.9*offered && float64(len(list)) < 1.1*offered)
			home, batch := 0, 0
			for i, a := range list {
				is.True(i == 0 || a.At >= list[i-1].At)
				is.True(a.Router >= 0 && a.Router < row.Routers)
				if a.Router%len(w.Regions) == a.Path[w.HomeLevel]%len(w.Regions) {
					home++
				}
				if a.Batch {
					batch++
				}
			}
			n := float64(len(list))
			is.True(float64(home)/n >= row.MinHomeShare)
			is.True(float64(batch)/n >= row.BatchRange[0] && float64(batch)/n <= row.BatchRange[1])
		})
	}
}

func TestBoundGrowsWithCacheSize(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	row := arrivalRow{Workload: "vloerkuns", Seed: 1, Rate: 50, Seconds: 10, Routers: 9}
	w, list := row.make(t)
	all := func(loader.Arrival) bool { return true }
	last := 0.0
	for _, blocks := range []int{100, 1000, 10_000, 100_000} {
		rate, err := loader.Bound(w, list, blocks, all)
		is.NoErr(err)
		is.True(rate >= last && rate < 1)
		last = rate
	}
	_, err := loader.Bound(w, list, 100, func(loader.Arrival) bool { return false })
	is.True(err != nil) // no arrival was counted
}

func TestFloodAddsRequestsOfOneOrganisation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	row := arrivalRow{Workload: "vloerkuns", Seed: 1, Rate: 50, Seconds: 10, Routers: 9}
	w, list := row.make(t)
	flooded := loader.Flood(w, row.Seed, list, 3, 100, 10*time.Second, row.Routers)
	regular := 0
	for i, a := range flooded {
		is.True(i == 0 || a.At >= flooded[i-1].At)
		if !a.Flood {
			regular++
			continue
		}
		is.Equal(a.Organisation, 3)
	}
	is.Equal(regular, len(list))
	is.True(len(flooded) > 2*len(list))
}
