package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/standin/hoster"
	"gentianstep.example/gentianstep/internal/standin/loader"
)

// loadOptions holds the flags of the load subcommand.
type loadOptions struct {
	planPath     string
	policy       string
	seed         int
	loadShare    float64
	warmUp       time.Duration
	measured     time.Duration
	crashEngines bool
	floodShare   float64
	omitBatch    bool
	caseName     string
}

func newLoadCommand() command {
	o := loadOptions{
		planPath:  planFile,
		seed:      1,
		loadShare: 0.8,
		warmUp:    10 * time.Second,
		measured:  20 * time.Second,
	}
	parser := flaggy.NewSubcommand("load")
	parser.Description = "Send a seeded open-loop load to the routers of a plan and print the result as JSON."
	parser.String(&o.planPath, "p", "plan", "Path of the plan.")
	parser.String(&o.policy, "", "policy", "Name of the policy in force, for the result.")
	parser.Int(&o.seed, "s", "seed", "Seed of the load.")
	parser.Float64(&o.loadShare, "l", "load", "Load as a share of the committed capacity.")
	parser.Duration(&o.warmUp, "", "warm", "First part of the load, not counted.")
	parser.Duration(&o.measured, "", "measure", "Counted part of the load.")
	parser.Bool(&o.crashEngines, "", "crash", "Kill one engine in ten 10 s before the counted part.")
	parser.Float64(&o.floodShare, "", "flood", "Further requests of the largest organisation, as a share of the committed capacity.")
	parser.Bool(&o.omitBatch, "", "no-batch", "Leave the batch requests out.")
	parser.String(&o.caseName, "", "case", "Name of the case, for the result.")
	return command{parser: parser, run: o.run}
}

func (o *loadOptions) run(ctx context.Context) error {
	plan, err := hoster.ReadPlan(o.planPath)
	if err != nil {
		return err
	}
	w, err := loader.Find(plan.Workload)
	if err != nil {
		return err
	}
	if err := sendControl(ctx, plan.Hoster, "/clear"); err != nil {
		return err
	}
	rate := w.Rate * o.loadShare
	arrivals := o.arrivals(w, rate, len(plan.VMs))
	var before generator.Stats
	driver := loader.NewDriver(driverConfig(plan, w, o.warmUp))
	if o.crashEngines {
		time.AfterFunc(o.warmUp-crashLead, func() { _ = sendControl(ctx, plan.Hoster, "/crash") })
	}
	result := driver.Run(ctx, arrivals, func() { before, err = fetchStats(ctx, plan.Hoster) })
	if err != nil {
		return err
	}
	after, err := fetchStats(ctx, plan.Hoster)
	if err != nil {
		return err
	}
	result.Policy = o.policy
	result.Seed = uint64(o.seed)
	result.Rate = rate
	result.Load = o.loadShare
	result.Case = o.caseName
	o.addCacheStats(&result, before, after)
	result.BoundRate, err = loader.Bound(w, arrivals, plan.CacheBlocks*len(plan.Engines), func(a loader.Arrival) bool {
		return a.At >= o.warmUp
	})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

// arrivals generates the arrivals of the warm-up and the measured part.
func (o *loadOptions) arrivals(w loader.Workload, rate float64, routers int) []loader.Arrival {
	duration := o.warmUp + o.measured
	list := loader.Arrivals(w, uint64(o.seed), rate, duration, routers)
	if o.floodShare > 0 {
		list = loader.Flood(w, uint64(o.seed), list, 0, w.Rate*o.floodShare, duration, routers)
	}
	if o.omitBatch {
		list = slices.DeleteFunc(list, func(a loader.Arrival) bool { return a.Batch })
	}
	return list
}

// crashLead is how long before the measured part the engines crash.
const crashLead = 10 * time.Second

// addCacheStats sets the cache results of r from the difference between two
// reads of the engine counters.
func (o *loadOptions) addCacheStats(r *loader.Result, before, after generator.Stats) {
	prompt := after.PromptBlocks - before.PromptBlocks
	cached := after.CachedBlocks - before.CachedBlocks
	r.Computed = prompt - cached
	r.Recomputed = after.RecomputedBlocks - before.RecomputedBlocks
	if prompt > 0 {
		r.HitRate = float64(cached) / float64(prompt)
	}
}

func driverConfig(plan hoster.Plan, w loader.Workload, warmUp time.Duration) loader.Config {
	cfg := loader.Config{
		Workload:        w,
		UpstreamRegions: make(map[string]string),
		WeightsVersion:  "w1",
		WarmUp:          warmUp,
		Client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		}},
	}
	for _, vm := range plan.VMs {
		cfg.Routers = append(cfg.Routers, vm.Caller)
		cfg.RouterRegions = append(cfg.RouterRegions, vm.Region)
	}
	for _, e := range plan.Engines {
		cfg.UpstreamRegions[e.Name] = e.Region
	}
	return cfg
}

func sendControl(ctx context.Context, address netip.AddrPort, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, nil)
	if err != nil {
		return fmt.Errorf("create control request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send control request: %w", err)
	}
	return response.Body.Close()
}

func fetchStats(ctx context.Context, address netip.AddrPort) (generator.Stats, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/stats", nil)
	if err != nil {
		return generator.Stats{}, fmt.Errorf("create stats request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return generator.Stats{}, fmt.Errorf("send stats request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var s generator.Stats
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return generator.Stats{}, fmt.Errorf("decode engine stats: %w", err)
	}
	return s, nil
}
