package main

import (
	"cmp"
	"fmt"
	"net"
	"time"
)

// zones are the zones of kolkata-rides.
var zones = []string{"salt-lake", "howrah", "durgapur"}

// crossZoneDelay is the time that the network takes one way between two zones. The operators state 3.7 to 6.9 ms.
const crossZoneDelay = 5 * time.Millisecond

// deploymentOptions set the site and the size of a deployment, and how its backends answer. Backends and nodes are spread over the
// zones in turn; half of the backends of a zone are in one rack.
type deploymentOptions struct {
	site            string
	backends, nodes int
	// serve works on a request and answers it. It returns false if the connection is to be closed.
	serve func(b *backend, conn *backendConn, request received) bool
	// wrap returns what takes the place of a connection that a backend has accepted; nil: the connection itself.
	wrap     func(b *backend, accepted net.Conn) net.Conn
	memoryMB int  // memory of each node; 0: nodeMemoryMB
	near     bool // the network between the zones takes no time
}

// nodeMemoryMB is the memory of a node on scored days.
const nodeMemoryMB = 192

// deploy starts a small deployment of a site and waits until its nodes are ready. Each node has discovery and
// the backends at addresses of its own.
func (r *rig) deploy(options deploymentOptions) (nodes []*node, err error) {
	var backends []*backend
	for i := range options.backends {
		backends = append(backends, &backend{
			uid:    fmt.Sprintf("s-%02d", i),
			zone:   i % len(zones),
			record: r.record,
			serve:  options.serve,
			wrap:   options.wrap,
		})
	}
	for i := range options.nodes {
		known := list{Rev: 1, All: true}
		zone := i % len(zones)
		for number, b := range backends {
			delay := crossZoneDelay
			if b.zone == zone || options.near {
				delay = 0
			}
			address, err := b.listen(delay)
			if err != nil {
				return nil, err
			}
			known.Targets = append(known.Targets, target{
				UID: b.uid, Endpoint: address, Zone: zones[b.zone], Model: "new-rack", Cell: 2*b.zone + number/len(zones)%2,
				State: "in_service", Hint: 1,
			})
		}
		discovery, err := startDiscovery(known)
		if err != nil {
			return nil, err
		}
		n, err := r.startNode(nodeOptions{
			discovery: discovery, known: known, memoryMB: cmp.Or(options.memoryMB, nodeMemoryMB), index: i, count: options.nodes, zone: zone, site: options.site,
		})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
