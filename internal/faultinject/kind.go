package faultinject

import "slices"

// Kind is a kind of fault.
type Kind string

// The kinds of faults of backends, sites, discovery, nodes and clients. Size is what the comment says it is; a kind whose
// comment doesn't name it has none.
const (
	FastErrors    Kind = "fast-errors"    // backends answer a share of requests (size) with an error, at once
	Slow          Kind = "slow"           // backends work slower by a factor (size)
	Freeze        Kind = "freeze"         // backends stop working: connections stay open, nothing is answered
	Kill          Kind = "kill"           // processes die, and start again, warming up, when the fault ends
	Replace       Kind = "replace"        // backends die for good; one with a new ID takes their address when the fault ends
	Drain         Kind = "drain"          // backends shut down gracefully; they start again, warming up, when the fault ends
	Rolling       Kind = "rolling"        // each backend chosen in turn drains and starts again, evenly over the time
	Resets        Kind = "resets"         // a share of responses (size) is lost in a reset after the request has run
	Garbage       Kind = "garbage"        // a share of responses (size) is not HTTP, after the request has run
	Interim       Kind = "interim"        // a share of responses (size) has informational responses before it
	SiteLost      Kind = "site-lost"      // all backends of a site die, and start again, warming up
	SiteSilent    Kind = "site-silent"    // the same, but the machines vanish: nothing is reset
	SitePartition Kind = "site-cut"       // a network partition: the links between a site and the others drop everything
	DiscoveryDown Kind = "list-down"      // discovery answers nothing and ends its watches
	NodeKill      Kind = "node-kill"      // nodes die, and start again without state when the fault ends
	ClockSkew     Kind = "clock-off"      // the clocks of nodes are off by some ms (size)
	MessageLoss   Kind = "datagrams-lost" // a share of the messages between nodes (size) is lost
	Surge         Kind = "surge"          // clients send more by a factor (size); of one tenant, if one is named
	HotNode       Kind = "hot-node"       // a share of all traffic (size) comes in at the nodes chosen
)

// The kinds of faults of our own processes that talk to each other: agents and their callers.
const (
	ProcessKill    Kind = "process-kill" // SIGKILL; the process starts again from its disk when the fault ends
	ProcessStop    Kind = "process-stop" // SIGSTOP, and SIGCONT when the fault ends
	LinkCut        Kind = "link-cut"     // what the process sends and receives is reset
	LinkSendCut    Kind = "link-mute"    // what it sends is reset
	LinkReceiveCut Kind = "link-deaf"    // what it receives is reset
	LinkBridge     Kind = "link-bridge"  // two halves of the other processes reach each other only through it
	LinkFlap       Kind = "link-flap"    // its links are cut and restored in turn, each for some ms (size)
	LinkSilent     Kind = "link-silent"  // its connections stay open, and nothing comes through
	LinkDelay      Kind = "link-delay"   // what it sends and receives is delayed by some ms (size)
	LinkReset      Kind = "link-reset"   // a share of the segments that it sends (size) ends in a reset
	ClockRate      Kind = "clock-rate"   // its clock runs at a rate (size)
	ClockJump      Kind = "clock-jump"   // its clock jumps by some ms (size), and stays there
	DiskStall      Kind = "disk-stall"   // each write takes some ms longer (size)
	DiskFull       Kind = "disk-full"    // nothing can be written
	DiskSync       Kind = "disk-sync"    // syncs of what was written fail
)

// target is what a kind of fault hits.
type target uint8

const (
	targetNone target = iota // the whole deployment
	targetBackends
	targetSites
	targetNodes
	targetProcesses
)

// trait is what a kind of fault allows.
type trait struct {
	target      target
	minSize     float64
	maxSize     float64
	defaultSize float64
}

func (t trait) hasSize() bool { return t.minSize != t.maxSize }

var traits = map[Kind]trait{
	FastErrors: {targetBackends, 0, 1, 1},
	Slow:       {targetBackends, 1, 1000, 3},
	Freeze:     {target: targetBackends},
	Kill:       {target: targetBackends},
	Replace:    {target: targetBackends},
	Drain:      {target: targetBackends},
	Rolling:    {target: targetBackends},
	Resets:     {targetBackends, 0, 1, 0.5},
	Garbage:    {targetBackends, 0, 1, 0.5},
	Interim:    {targetBackends, 0, 1, 1},

	SiteLost:      {target: targetSites},
	SiteSilent:    {target: targetSites},
	SitePartition: {target: targetSites},

	NodeKill:  {target: targetNodes},
	ClockSkew: {targetNodes, -60000, 60000, 300},
	HotNode:   {targetNodes, 0, 1, 0.2},

	DiscoveryDown: {target: targetNone},
	MessageLoss:   {targetNone, 0, 1, 0.5},
	Surge:         {targetNone, 0, 100, 2},

	ProcessKill:    {target: targetProcesses},
	ProcessStop:    {target: targetProcesses},
	LinkCut:        {target: targetProcesses},
	LinkSendCut:    {target: targetProcesses},
	LinkReceiveCut: {target: targetProcesses},
	LinkBridge:     {target: targetProcesses},
	LinkFlap:       {targetProcesses, 10, 10000, 150},
	LinkSilent:     {target: targetProcesses},
	LinkDelay:      {targetProcesses, 1, 10000, 200},
	LinkReset:      {targetProcesses, 0, 1, 0.1},
	ClockRate:      {targetProcesses, 0.1, 10, 1.2},
	ClockJump:      {targetProcesses, 1, 60000, 2000},
	DiskStall:      {targetProcesses, 1, 10000, 300},
	DiskFull:       {target: targetProcesses},
	DiskSync:       {target: targetProcesses},
}

// Kinds are all kinds, by name.
func Kinds() []Kind {
	var all []Kind
	for kind := range traits {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}
