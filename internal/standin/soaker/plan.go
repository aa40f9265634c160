package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Kind is what a step does to its target.
type Kind string

// Kinds of steps. The first ones are planned work, which callers must not notice.
const (
	// Stop ends a gateway with SIGTERM and starts it again.
	Stop Kind = "stop"
	// Reload changes the settings of a gateway and sends SIGHUP.
	Reload Kind = "reload"
	// Configure publishes a configuration that revokes a key.
	Configure Kind = "configure"
	// Name names a newer version of the weights.
	Name Kind = "name_weights"
	// Leave makes an upstream announce that it leaves. Another one replaces it.
	Leave Kind = "leave"
	// Restart starts an upstream again under its ID, whose new entry follows at the end of
	// the step. One of its processes states that it leaves.
	Restart Kind = "restart"
	// Refuse makes an upstream refuse some requests and ask for a pause.
	Refuse Kind = "refuse"
	// Kill ends a gateway with SIGKILL and starts it again.
	Kill Kind = "kill"
	// Freeze suspends a gateway with SIGSTOP until the end of the step.
	Freeze Kind = "freeze"
	// Disturb gives a link an effect until the end of the step.
	Disturb Kind = "disturb"
	// Spoil makes an upstream spoil its responses to some requests.
	Spoil Kind = "spoil"
	// Store gives the store a fault until the end of the step.
	Store Kind = "store"
	// Crash makes engines crash on calls with a part in their prompts, some of which callers
	// send until the end of the step.
	Crash Kind = "crash"
	// Break makes engines break some streams until the end of the step, and answer the
	// attempts that should go on with them wrongly. The detail decides which.
	Break Kind = "break_streams"
	// Limit makes an upstream state a limit, the detail, until the end of the step.
	Limit Kind = "limit"
	// Flood makes further callers send calls of one organisation until the end of the step.
	Flood Kind = "flood"
)

// Details of Restart: the process that states that it leaves.
const (
	EarlierLeaves = "earlier_leaves"
	LaterLeaves   = "later_leaves"
)

// Targets of steps. Those of links of a gateway follow its name and a slash.
const (
	storeTarget = "store"
	frontTarget = "front"
	crashTarget = "engines"
	floodTarget = "callers"
)

// Step is one fault or planned change. Its times count from the start of the plan.
type Step struct {
	Kind   Kind          `json:"kind"`
	Target string        `json:"target"`
	Detail string        `json:"detail,omitempty"`
	Begin  time.Duration `json:"begin"`
	End    time.Duration `json:"end"`
}

// limitValues are the limits that upstreams state, in requests a second.
var limitValues = []string{"0", "0.5", "1", "2.5", "4.3", "6.1"}

// Targets lists what a plan may choose from.
type Targets struct {
	Gateways  []string
	Upstreams []string
	Links     []string
	// StoreFaults and UpstreamFaults are the faults that the site offers.
	StoreFaults    []string
	UpstreamFaults []string
	// Keys are the API keys that may be revoked, each once.
	Keys []string
	// Crashes adds a step in which engines crash on certain calls. Calm leaves out all
	// others.
	Crashes bool
	Calm    bool
	// Breaks adds a step in which engines break streams, also to a calm plan.
	Breaks bool
	// Limits adds steps in which upstreams state limits, also to a calm plan.
	Limits bool
	// Floods adds a step in which an organisation floods, also to a calm plan.
	Floods bool
}

const (
	// quietStart is the time before the first step.
	quietStart = time.Second
	// plannedShare is the part of a plan that holds planned work only.
	plannedShare = 0.4
	// restartGap is the mean time between two restarts of upstreams, and restartReserve the
	// time before the end of the plan in which there are none.
	restartGap     = 1500 * time.Millisecond
	restartReserve = 8 * time.Second
	// maxEntryDelay is the longest time until the entry of a restarted upstream follows. It
	// exceeds the drain bound.
	maxEntryDelay = 5 * time.Second
	// restartMargin is the time around a restart in which its upstream is not replaced.
	restartMargin = 3 * time.Second
	// restartSeed makes the restarts of a seed independent of its other steps.
	restartSeed = 1 << 63
	// crashSeed does so for the step of crashing calls, which begins and ends at shares of
	// the plan.
	crashSeed      = 1 << 62
	earliestCrash  = 0.05
	latestCrash    = 0.15
	crashStepShare = 0.6
	// breakSeed does so for the step in which engines break streams.
	breakSeed      = 1 << 60
	breakStepShare = 0.8
	// floodSeed does so for the step in which an organisation floods.
	floodSeed      = 1 << 59
	floodStepShare = 0.7
	// limitSeed does so for the steps with limits. Each upstream has limitChance of one, the
	// first of which begins at earliestLimit to latestLimit of the plan. They last
	// minLimitShare to maxLimitShare of it, and some are followed by another.
	limitSeed     = 1 << 61
	limitChance   = 0.6
	earliestLimit = 0.05
	latestLimit   = 0.2
	minLimitShare = 0.25
	maxLimitShare = 0.5
	minGap        = 60 * time.Millisecond
	maxGap        = 600 * time.Millisecond
	minLength     = 300 * time.Millisecond
	maxLength     = 2500 * time.Millisecond
)

// planner draws the steps of a plan.
type planner struct {
	random  *rand.Rand
	targets Targets
	steps   []Step
	// busyUntil is the end of the last step of a kind at a target.
	busyUntil map[string]time.Duration
}

// NewPlan returns the plan of a seed. All steps end within length.
func NewPlan(seed uint64, length time.Duration, t Targets) []Step {
	p := &planner{random: rand.New(rand.NewPCG(seed, seed)), targets: t, busyUntil: make(map[string]time.Duration)} //nolint:gosec // A plan must be repeatable.
	p.targets.Keys = slices.Clone(t.Keys)
	planned := []Kind{Stop, Stop, Reload, Configure, Name, Name, Leave, Refuse}
	all := append(slices.Clone(planned), Kill, Kill, Freeze, Freeze, Spoil, Spoil, Disturb, Disturb, Disturb, Disturb, Store, Store, Store)
	for at := quietStart; at < length-minLength && !t.Calm; at += p.between(minGap, maxGap) {
		kinds := all
		if at < time.Duration(plannedShare*float64(length)) {
			kinds = planned
		}
		p.add(kinds[p.random.IntN(len(kinds))], at, min(at+p.between(minLength, maxLength), length))
	}
	p.random = rand.New(rand.NewPCG(seed, seed^restartSeed)) //nolint:gosec // A plan must be repeatable.
	for at := quietStart; at < length-restartReserve && !t.Calm; at += p.between(restartGap/2, restartGap*3/2) {
		p.addRestart(at)
	}
	if t.Crashes {
		p.random = rand.New(rand.NewPCG(seed, seed^crashSeed)) //nolint:gosec // A plan must be repeatable.
		begin := p.between(share(length, earliestCrash), share(length, latestCrash))
		p.steps = append(p.steps, Step{Kind: Crash, Target: crashTarget, Begin: begin, End: begin + share(length, crashStepShare)})
	}
	if t.Breaks {
		p.random = rand.New(rand.NewPCG(seed, seed^breakSeed)) //nolint:gosec // A plan must be repeatable.
		begin := p.between(share(length, earliestCrash), share(length, latestCrash))
		p.steps = append(p.steps, Step{
			Kind: Break, Target: crashTarget, Detail: strconv.Itoa(p.random.IntN(1 << 30)), Begin: begin, End: begin + share(length, breakStepShare),
		})
	}
	if t.Floods {
		p.random = rand.New(rand.NewPCG(seed, seed^floodSeed)) //nolint:gosec // A plan must be repeatable.
		begin := p.between(share(length, earliestCrash), share(length, latestCrash))
		p.steps = append(p.steps, Step{Kind: Flood, Target: floodTarget, Begin: begin, End: begin + share(length, floodStepShare)})
	}
	if t.Limits {
		p.random = rand.New(rand.NewPCG(seed, seed^limitSeed)) //nolint:gosec // A plan must be repeatable.
		p.addLimits(length)
	}
	slices.SortStableFunc(p.steps, func(a, b Step) int { return cmp.Compare(a.Begin, b.Begin) })
	return p.steps
}

// addRestart appends a restart unless its upstream is replaced around it.
func (p *planner) addRestart(begin time.Duration) {
	s := Step{Kind: Restart, Target: p.choose(p.targets.Upstreams), Begin: begin, End: begin + p.between(minLength, maxEntryDelay)}
	s.Detail = p.choose([]string{EarlierLeaves, LaterLeaves})
	replaced := slices.ContainsFunc(p.steps, func(other Step) bool {
		return (other.Kind == Leave || other.Kind == Restart) && other.Target == s.Target && other.Begin < s.End+restartMargin && s.Begin < other.End+restartMargin
	})
	if !replaced {
		p.steps = append(p.steps, s)
	}
}

// addLimits appends the steps in which upstreams state limits.
func (p *planner) addLimits(length time.Duration) {
	for _, upstream := range p.targets.Upstreams {
		if p.random.Float64() >= limitChance {
			continue
		}
		begin := p.between(share(length, earliestLimit), share(length, latestLimit))
		for begin < length {
			end := min(begin+p.between(share(length, minLimitShare), share(length, maxLimitShare)), length)
			p.steps = append(p.steps, Step{Kind: Limit, Target: upstream, Detail: p.choose(limitValues), Begin: begin, End: end})
			begin = end + p.between(minGap, share(length, minLimitShare))
		}
	}
}

func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

// share returns a share of a time.
func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func (p *planner) choose(list []string) string { return list[p.random.IntN(len(list))] }

// add appends a step unless one of the same kind is under way at its target.
func (p *planner) add(kind Kind, begin, end time.Duration) {
	s := Step{Kind: kind, Begin: begin, End: end}
	switch kind {
	case Stop, Reload, Kill, Freeze:
		s.Target = p.choose(p.targets.Gateways)
	case Configure:
		if len(p.targets.Keys) == 0 {
			return
		}
		s.Target, s.Detail, s.End = storeTarget, p.targets.Keys[0], begin
		p.targets.Keys = p.targets.Keys[1:]
	case Name:
		s.Target, s.End = storeTarget, begin
	case Leave, Refuse:
		s.Target = p.choose(p.targets.Upstreams)
	case Disturb:
		s.Target = p.choose(p.targets.Links)
		effects := Effects()
		s.Detail = string(effects[p.random.IntN(len(effects))])
	case Spoil:
		s.Target, s.Detail = p.choose(p.targets.Upstreams), p.choose(p.targets.UpstreamFaults)
	case Store:
		s.Target, s.Detail = storeTarget, p.choose(p.targets.StoreFaults)
	}
	resource := string(kind) + " " + s.Target
	if begin < p.busyUntil[resource] {
		return
	}
	p.busyUntil[resource] = s.End
	p.steps = append(p.steps, s)
}
