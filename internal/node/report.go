package node

import "time"

// reportKind identifies the event that is reported to the event loop, usually the result of a system call.
type reportKind uint8

// Kinds of reports.
const (
	reportInput     reportKind = iota // bytes were read
	reportWritten                     // a write has succeeded or failed
	reportDialed                      // a dial has succeeded or failed
	reportClosed                      // the peer was found to have closed a connection
	reportDetached                    // a connection has been detached from the poller
	reportForwarded                   // a forwarder has finished, or its target can't be written to any more
)

// report posts the result of a system call to the event loop, from the goroutine that made the call. Until the callback
// runs, the event loop's state is behind what the peer has seen, and the peer may already have reacted to it. Tests
// lengthen that time with testReportDelay. The poller's goroutine may only report reportClosed: a delay of any other
// report would block it.
func (n *Node) report(kind reportKind, callback func()) {
	delay := n.testReportDelay.Load()
	switch {
	case delay == nil:
		n.post(callback)
	case kind == reportClosed: // posted without sleeping: the caller may be the event loop, and no report follows this
		time.AfterFunc((*delay)(kind), func() { n.post(callback) })
	default:
		time.Sleep((*delay)(kind))
		n.post(callback)
	}
}
