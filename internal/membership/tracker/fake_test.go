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

// tickInterval is the virtual time between two calls of Tick on each node.
const tickInterval = 100 * time.Millisecond

// node is one controller in the simulated network.
type node struct {
	address netip.AddrPort
	tracker *Tracker
	up      bool
	paused  bool
	// partition is the network partition of the node. Messages between partitions
	// are dropped.
	partition int
	// offset is the offset of the node's clock from virtual time.
	offset time.Duration
	// leaving is true once the node has announced its leave.
	leaving bool
}

// delivery is a message in flight or, with from -1, the next tick of a node.
type delivery struct {
	at   time.Time
	to   int
	from int
	data []byte
}

// deliveries is a heap of deliveries ordered by time.
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

// network simulates a cluster of trackers in virtual time, with message loss and
// latency.
type network struct {
	now   time.Time
	nodes []*node
	index map[netip.AddrPort]int
	queue deliveries
	rng   *rand.Rand
	loss  float64
	seeds int
	// messages, bytes and largest count the sent messages, their encoded bytes and
	// the bytes of the largest one.
	messages int
	bytes    int
	largest  int
	// failures holds the observed decoding errors and protocol violations.
	failures []string
	// falseDeaths counts declarations as dead, one per view, of nodes that were up.
	falseDeaths int
	// firstDead holds when each node was first declared dead in any view.
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
		heap.Push(&n.queue, delivery{at: n.now.Add(time.Duration(n.rng.Int64N(int64(tickInterval)))), to: i, from: -1})
	}
	return n
}

// start starts or restarts node i with a new tracker.
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
	node.leaving = false
}

// run advances virtual time until the given time, or until done returns true. It
// reports whether done returned true.
func (n *network) run(until time.Time, done func() bool) bool {
	checkAt := n.now
	for len(n.queue) > 0 && n.queue[0].at.Before(until) {
		d := heap.Pop(&n.queue).(delivery)
		n.now = d.at
		n.deliver(d)
		if done != nil && !n.now.Before(checkAt) {
			checkAt = n.now.Add(5 * tickInterval)
			if done() {
				return true
			}
		}
	}
	n.now = until
	return done != nil && done()
}

// deliver handles a message or tick at its node. Messages to nodes that are down,
// paused or in another partition are dropped.
func (n *network) deliver(d delivery) {
	node := n.nodes[d.to]
	localTime := n.now.Add(node.offset)
	if d.from < 0 {
		heap.Push(&n.queue, delivery{at: n.now.Add(tickInterval), to: d.to, from: -1})
		if node.up && !node.paused {
			n.apply(d.to, node.tracker.Tick(localTime))
		}
		return
	}
	if !node.up || node.paused || node.partition != n.nodes[d.from].partition {
		return
	}
	var m Message
	if err := cbor.Unmarshal(d.data, &m); err != nil {
		n.failures = append(n.failures, err.Error())
		return
	}
	e, err := node.tracker.HandleMessage(localTime, m)
	if err != nil {
		n.failures = append(n.failures, err.Error())
	}
	n.apply(d.to, e)
}

// apply checks the changes and enqueues the messages of the effects at a node.
func (n *network) apply(from int, e Effects) {
	for _, c := range e.Changes {
		n.checkChange(c)
	}
	for _, s := range e.Outgoing {
		data, err := cbor.Marshal(s.Message)
		if err != nil {
			n.failures = append(n.failures, err.Error())
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

// checkChange compares a change in one view with the actual state of the node. It
// counts false deaths and records a failure if a leaving node becomes alive again.
func (n *network) checkChange(c Change) {
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
	if c.Member.State == Alive && node.leaving {
		n.failures = append(n.failures, fmt.Sprintf("%s became alive while leaving", c.Member.Name))
	}
}

// stateIn returns the state of node i in the view of the observer, or 0 if it is
// unknown there.
func (n *network) stateIn(observer, i int) State {
	rec, ok := n.nodes[observer].tracker.records[address(i)]
	if !ok {
		return 0
	}
	return rec.State
}

// allPeersSee reports whether matches returns true for the state of node i in the
// view of every other running node.
func (n *network) allPeersSee(i int, matches func(State) bool) bool {
	for j, node := range n.nodes {
		if j != i && node.up && !node.paused && !matches(n.stateIn(j, i)) {
			return false
		}
	}
	return true
}

// converged reports whether every running node has exactly the running nodes of
// its partition in its view. Suspects count as running if allowSuspects is true.
func (n *network) converged(allowSuspects bool) bool {
	for i, node := range n.nodes {
		if !node.up {
			continue
		}
		for j, other := range n.nodes {
			want := other.up && other.partition == node.partition
			state := n.stateIn(i, j)
			present := state == Alive || state == Leaving || state == Suspect && allowSuspects
			if i != j && want != present {
				return false
			}
		}
	}
	return true
}

// vmList returns the platform's VM list with node leaving in state leaving, or
// none if leaving is -1.
func (n *network) vmList(leaving int) []storer.VM {
	vms := make([]storer.VM, 0, len(n.nodes))
	for i, node := range n.nodes {
		vm := storer.VM{Address: node.address, State: storer.Live}
		if i == leaving {
			vm.State = storer.Leaving
		}
		vms = append(vms, vm)
	}
	return vms
}
