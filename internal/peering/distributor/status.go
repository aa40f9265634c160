package distributor

import "gentianstep.example/gentianstep/internal/peering/messenger"

// recordHead records the version of the bundle in force at the peer of l.
func (d *Distributor) recordHead(l *Link, head messenger.BundleHead) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.head = head
}

// status returns the bundle versions in force on this controller and on the connected
// routers.
func (d *Distributor) status() *messenger.Status {
	own := messenger.NodeStatus{Node: d.hello.Node, Role: d.hello.Role, Region: d.hello.Region}
	if current := d.holder.Current(); current != nil {
		own.BundleVersion = current.Bundle.Version
		own.Since = current.Since
	}
	nodes := []messenger.NodeStatus{own}
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.links {
		if l.Peer.Role != messenger.Router {
			continue
		}
		nodes = append(nodes, messenger.NodeStatus{
			Node:          l.Peer.Node,
			Role:          l.Peer.Role,
			Region:        l.Peer.Region,
			BundleVersion: l.head.Version,
			Since:         l.head.Since,
		})
	}
	return &messenger.Status{Nodes: nodes}
}
