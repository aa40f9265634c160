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

// loadOptions are the options of one load.
type loadOptions struct {
	planPath string
	policy   string
	seed     int
	load     float64
	warm     time.Duration
	measure  time.Duration
	crash    bool
	flood    float64
	noBatch  bool
	name     string
}

func newLoadCommand() command {
	o := loadOptions{
		planPath: planFile,
		seed:     1,
		load:     0.8,
		warm:     10 * time.Second,
		measure:  20 * time.Second,
	}
	parser := flaggy.NewSubcommand("load")
	parser.Description = "Send a seeded open-loop load to the routers of a plan and print the result as JSON."
	parser.String(&o.planPath, "p", "plan", "Path of the plan.")
	parser.String(&o.policy, "", "policy", "Name of the policy in force, for the result.")
	parser.Int(&o.seed, "s", "seed", "Seed of the load.")
	parser.Float64(&o.load, "l", "load", "Load as a share of the committed capacity.")
	parser.Duration(&o.warm, "", "warm", "First part of the load, not counted.")
	parser.Duration(&o.measure, "", "measure", "Counted part of the load.")
	parser.Bool(&o.crash, "", "crash", "Kill one engine in ten 10 s before the counted part.")
	parser.Float64(&o.flood, "", "flood", "Further requests of the largest organisation, as a share of the committed capacity.")
	parser.Bool(&o.noBatch, "", "no-batch", "Leave the batch requests out.")
	parser.String(&o.name, "", "case", "Name of the case, for the result.")
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
	if err := post(ctx, plan.Hoster, "/clear"); err != nil {
		return err
	}
	rate := w.Rate * o.load
	arrivals := o.arrivals(w, rate, len(plan.VMs))
	var before generator.Stats
	driver := loader.NewDriver(driverConfig(plan, w, o.warm))
	if o.crash {
		time.AfterFunc(o.warm-crashLead, func() { _ = post(ctx, plan.Hoster, "/crash") })
	}
	result := driver.Run(ctx, arrivals, func() { before, err = stats(ctx, plan.Hoster) })
	if err != nil {
		return err
	}
	after, err := stats(ctx, plan.Hoster)
	if err != nil {
		return err
	}
	result.Policy = o.policy
	result.Seed = uint64(o.seed)
	result.Rate = rate
	result.Load = o.load
	result.Case = o.name
	o.addCaches(&result, before, after)
	result.BoundRate, err = loader.Bound(w, arrivals, plan.CacheBlocks*len(plan.Engines), func(a loader.Arrival) bool {
		return a.At >= o.warm
	})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

// arrivals returns the requests of the load.
func (o *loadOptions) arrivals(w loader.Workload, rate float64, routers int) []loader.Arrival {
	duration := o.warm + o.measure
	list := loader.Arrivals(w, uint64(o.seed), rate, duration, routers)
	if o.flood > 0 {
		list = loader.Flood(w, uint64(o.seed), list, 0, w.Rate*o.flood, duration, routers)
	}
	if o.noBatch {
		list = slices.DeleteFunc(list, func(a loader.Arrival) bool { return a.Batch })
	}
	return list
}

// crashLead is the time between a crash and the counted part of a load.
const crashLead = 10 * time.Second

func (o *loadOptions) addCaches(r *loader.Result, before, after generator.Stats) {
	prompt := after.PromptBlocks - before.PromptBlocks
	cached := after.CachedBlocks - before.CachedBlocks
	r.Computed = prompt - cached
	r.Recomputed = after.RecomputedBlocks - before.RecomputedBlocks
	if prompt > 0 {
		r.HitRate = float64(cached) / float64(prompt)
	}
}

func driverConfig(plan hoster.Plan, w loader.Workload, warm time.Duration) loader.Config {
	cfg := loader.Config{
		Workload:        w,
		UpstreamRegions: make(map[string]string),
		WeightsVersion:  "w1",
		Warm:            warm,
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

func post(ctx context.Context, address netip.AddrPort, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, nil)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return response.Body.Close()
}

func stats(ctx context.Context, address netip.AddrPort) (generator.Stats, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/stats", nil)
	if err != nil {
		return generator.Stats{}, fmt.Errorf("stats: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return generator.Stats{}, fmt.Errorf("stats: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var s generator.Stats
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return generator.Stats{}, fmt.Errorf("stats: %w", err)
	}
	return s, nil
}
