package faultinject

import "slices"

// Kind is the name of a kind of fault, as it appears in files and reports.
type Kind string

// The kinds of faults of backends, sites, discovery, nodes and clients. The comment of a kind marks the quantity that
// Fault.Size sets with "(size)"; a kind without this mark has no size.
const (
	FastErrors    Kind = "fast-errors"    // backends answer a share of requests (size) with an immediate error
	Slow          Kind = "slow"           // backends work more slowly by a factor (size)
	Freeze        Kind = "freeze"         // backends stop working: connections stay open, requests are not answered
	Kill          Kind = "kill"           // backends crash; they restart when the fault ends, and warm up
	Replace       Kind = "replace"        // backends crash for good; at its end, ones with new IDs get their addresses
	Drain         Kind = "drain"          // backends shut down gracefully; they restart at the fault's end, and warm up
	Rolling       Kind = "rolling"        // backends drain and restart one after the other, evenly over the duration
	Resets        Kind = "resets"         // a share of responses (size) is lost in a reset after the request has run
	Garbage       Kind = "garbage"        // a share of responses (size) is not valid HTTP; the request has run
	Interim       Kind = "interim"        // informational (1xx) responses precede a share of responses (size)
	SiteLost      Kind = "site-lost"      // all backends of a site crash; they restart when the fault ends, and warm up
	SiteSilent    Kind = "site-silent"    // like SiteLost, but the machines disappear: no connection is reset
	SitePartition Kind = "site-cut"       // network partition: links between a site and the others drop everything
	DiscoveryDown Kind = "list-down"      // discovery does not answer, and its open watches end
	NodeKill      Kind = "node-kill"      // nodes crash; they restart without state when the fault ends
	ClockSkew     Kind = "clock-off"      // the clocks of nodes are wrong by a number of ms (size)
	MessageLoss   Kind = "datagrams-lost" // a share of the messages between nodes (size) is lost
	Surge         Kind = "surge"          // clients, or those of the named tenant, send more by a factor (size)
	HotNode       Kind = "hot-node"       // a share of all traffic (size) arrives at the chosen nodes
)

// The kinds of faults of our own processes that communicate with each other: agents and their callers.
const (
	ProcessKill    Kind = "process-kill" // SIGKILL; the process restarts from its state on disk when the fault ends
	ProcessStop    Kind = "process-stop" // SIGSTOP at the start of the fault, SIGCONT at its end
	LinkCut        Kind = "link-cut"     // connections that carry data to or from the process are reset
	LinkSendCut    Kind = "link-mute"    // connections that carry data from the process are reset
	LinkReceiveCut Kind = "link-deaf"    // connections that carry data to the process are reset
	LinkBridge     Kind = "link-bridge"  // the process is the only link between two halves of the other processes
	LinkFlap       Kind = "link-flap"    // its links are cut and restored alternately, each for a number of ms (size)
	LinkSilent     Kind = "link-silent"  // its connections stay open, but transfer no data
	LinkDelay      Kind = "link-delay"   // data that it sends and receives is delayed by a number of ms (size)
	LinkReset      Kind = "link-reset"   // a share of the segments that it sends (size) causes a connection reset
	ClockRate      Kind = "clock-rate"   // its clock runs at a rate (size) relative to real time
	ClockJump      Kind = "clock-jump"   // its clock jumps by a number of ms (size) and keeps that offset
	DiskStall      Kind = "disk-stall"   // each write takes longer by a number of ms (size)
	DiskFull       Kind = "disk-full"    // no data can be written
	DiskSync       Kind = "disk-sync"    // every sync of written data to the disk fails
)

// target is the type of component that a kind of fault affects.
type target uint8

const (
	targetNone target = iota // the whole deployment
	targetBackends
	targetSites
	targetNodes
	targetProcesses
)

// trait describes a kind of fault: its target, and the range and default of its size.
type trait struct {
	target      target
	minSize     float64
	maxSize     float64
	defaultSize float64
}

// hasSize reports whether the kind has a size; a kind without one has an empty range.
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

// Kinds returns all kinds of faults, sorted by name.
func Kinds() []Kind {
	var all []Kind
	for kind := range traits {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}
