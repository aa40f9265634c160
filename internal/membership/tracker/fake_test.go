package tracker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// tickEvery is how often the fake calls Tick of each node.
const tickEvery = 100 * time.Millisecond

// node is one controller in the fake network.
type node struct {
	address netip.AddrPort
	tracker *Tracker
	up      bool
	paused  bool
	group   int
	// offset is added to the node's clock.
	offset time.Duration
	left   bool
}

// delivery is a message under way, or the next tick of a node.
type delivery struct {
	at   time.Time
	to   int
	from int
	data []byte
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// network joins trackers by lossy, slow messages in virtual time.
type network struct {
	now      time.Time
	nodes    []*node
	index    map[netip.AddrPort]int
	queue    deliveries
	rng      *rand.Rand
	loss     float64
	seeds    int
	messages int
	bytes    int
	largest  int
	faults   []string
	// falseDeaths counts nodes declared dead, by one view, while they were up.
	falseDeaths int
	// firstDead is when some view first had the node as dead.
	firstDead map[int]time.Time
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7400)
}

func newNetwork(size int, loss float64, seed uint64) *network {
	n := &network{
		now:       time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		index:     make(map[netip.AddrPort]int),
		rng:       rand.New(rand.NewPCG(seed, 2)),
		loss:      loss,
		seeds:     3,
		firstDead: make(map[int]time.Time),
	}
	for i := range size {
		n.nodes = append(n.nodes, &node{address: address(i)})
		n.index[address(i)] = i
		n.start(i)
		heap.Push(&n.queue, delivery{at: n.now.Add(time.Duration(n.rng.Int64N(int64(tickEvery)))), to: i, from: -1})
	}
	return n
}

func (n *network) start(i int) {
	self := Member{
		Address:          address(i),
		Name:             fmt.Sprintf("entry-vm-%03d", i),
		Region:           fmt.Sprintf("region-%d", i%3),
		AvailabilityZone: fmt.Sprintf("region-%d-%d", i%3, i%2),
	}
	seeds := make([]netip.AddrPort, 0, n.seeds)
	for j := range n.seeds {
		seeds = append(seeds, address(j))
	}
	node := n.nodes[i]
	node.tracker = New(n.now.Add(node.offset), Config{Self: self, Seeds: seeds, Seed: n.rng.Uint64()})
	node.up = true
	node.left = false
}

// run lets the network go on until the time or until done reports true.
func (n *network) run(until time.Time, done func() bool) bool {
	checkAt := n.now
	for len(n.queue) > 0 && n.queue[0].at.Before(until) {
		d := heap.Pop(&n.queue).(delivery)
		n.now = d.at
		n.deliver(d)
		if done != nil && !n.now.Before(checkAt) {
			checkAt = n.now.Add(5 * tickEvery)
			if done() {
				return true
			}
		}
	}
	n.now = until
	return done != nil && done()
}

func (n *network) deliver(d delivery) {
	node := n.nodes[d.to]
	local := n.now.Add(node.offset)
	if d.from < 0 {
		heap.Push(&n.queue, delivery{at: n.now.Add(tickEvery), to: d.to, from: -1})
		if node.up && !node.paused {
			n.apply(d.to, node.tracker.Tick(local))
		}
		return
	}
	if !node.up || node.paused || node.group != n.nodes[d.from].group {
		return
	}
	var m Message
	if err := cbor.Unmarshal(d.data, &m); err != nil {
		n.faults = append(n.faults, err.Error())
		return
	}
	e, err := node.tracker.Handle(local, m)
	if err != nil {
		n.faults = append(n.faults, err.Error())
	}
	n.apply(d.to, e)
}

func (n *network) apply(from int, e Effects) {
	for _, c := range e.Changes {
		n.note(c)
	}
	for _, s := range e.Sends {
		data, err := cbor.Marshal(s.Message)
		if err != nil {
			n.faults = append(n.faults, err.Error())
		}
		n.messages++
		n.bytes += len(data)
		n.largest = max(n.largest, len(data))
		to, ok := n.index[s.To]
		if !ok || n.rng.Float64() < n.loss {
			continue
		}
		latency := time.Duration(1+n.rng.IntN(20)) * time.Millisecond
		heap.Push(&n.queue, delivery{at: n.now.Add(latency), to: to, from: from, data: data})
	}
}

// note checks one change of one view against what really happened.
func (n *network) note(c Change) {
	i, ok := n.index[c.Member.Address]
	if !ok {
		return
	}
	node := n.nodes[i]
	if c.Member.State == Dead {
		if _, ok := n.firstDead[i]; !ok {
			n.firstDead[i] = n.now
		}
		if node.up && !node.paused && c.Member.Incarnation >= node.tracker.Self().Incarnation {
			n.falseDeaths++
		}
	}
	if c.Member.State == Alive && node.left {
		n.faults = append(n.faults, fmt.Sprintf("%s came back while leaving", c.Member.Name))
	}
}

// view returns the state of node i in the view of node by.
func (n *network) view(by, i int) State {
	rec, ok := n.nodes[by].tracker.records[address(i)]
	if !ok {
		return 0
	}
	return rec.State
}

// all reports whether every running node of a group sees node i so.
func (n *network) all(i int, ok func(State) bool) bool {
	for j, node := range n.nodes {
		if j != i && node.up && !node.paused && !ok(n.view(j, i)) {
			return false
		}
	}
	return true
}

// converged reports whether every running node sees exactly the running ones
// of its group. A suspect counts as seen where suspects is true.
func (n *network) converged(suspects bool) bool {
	for i, node := range n.nodes {
		if !node.up {
			continue
		}
		for j, other := range n.nodes {
			want := other.up && other.group == node.group
			state := n.view(i, j)
			known := state == Alive || state == Leaving || state == Suspect && suspects
			if i != j && want != known {
				return false
			}
		}
	}
	return true
}

func (n *network) vms(leaver int) []storer.VM {
	vms := make([]storer.VM, 0, len(n.nodes))
	for i, node := range n.nodes {
		vm := storer.VM{Address: node.address, State: storer.Live}
		if i == leaver {
			vm.State = storer.Leaving
		}
		vms = append(vms, vm)
	}
	return vms
}
