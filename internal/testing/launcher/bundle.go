package launcher

import (
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// Names used in the bundle of a Deployment.
const (
	region           = "jhb-a"
	availabilityZone = "jhb-a1"
	model            = "tile-match"
)

// baseBundle returns a valid bundle without upstreams. Deploy adds one for each
// engine and service that it starts.
func baseBundle() checker.Bundle {
	return checker.Bundle{
		Deployment: "test",
		Version:    1,
		Regions:    []checker.Region{{Name: region, AvailabilityZones: []string{availabilityZone}}},
		Organisations: []checker.Organisation{{
			Name: "kliek-teels", KeyHashes: []string{callerKeyHash()}, Weight: 1, Priority: checker.Interactive,
		}},
		Models: []checker.Model{{
			Name: model, WeightsVersion: "w1", MinReplicas: 1, ContinueElsewhere: true, MaxPromptBytes: 1 << 20, MaxTokens: 4096,
		}},
		Services: []checker.Service{{Name: "sample-desk", Calls: []checker.Call{
			{Method: "GET", Path: "/stock/*", Idempotent: true},
			{Method: "POST", Path: "/orders"},
		}}},
		Policy: basePolicy(),
	}
}

func basePolicy() checker.Policy {
	ms := func(n int) checker.Duration { return checker.Duration(time.Duration(n) * time.Millisecond) }
	return checker.Policy{
		Selection: checker.SelectionPolicy{
			Name: "prefix_cost", RecomputePrice: 0.5, CrossingPrice: ms(20), CrossingLatency: ms(15), LookupTimeout: ms(5),
		},
		Admission: checker.AdmissionPolicy{QueueLength: 256, MaxWait: ms(3000), BatchMaxWait: ms(60000), BatchShare: 0.5},
		Attempts:  checker.AttemptPolicy{MaxAttempts: 3, RetryBudget: 1, Cooldown: ms(5000), MaxEjected: 0.5},
		Streams: checker.StreamPolicy{
			FirstByteTimeout: ms(3000), IdleTimeout: ms(1000), TotalTimeout: ms(60000), CallerWriteTimeout: ms(5000), MaxResumes: 3,
		},
		Placement: checker.PlacementPolicy{MaxLoads: 3, LeaseTTL: ms(10000), OrderTimeout: ms(5000), MinDwell: ms(30000)},
	}
}
