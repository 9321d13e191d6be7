package node

import "time"

// reportKind says what kind of system call a report is about.
type reportKind uint8

// Kinds of reports.
const (
	reportInput     reportKind = iota // bytes were read
	reportWritten                     // a write has ended
	reportDialed                      // a dial has ended
	reportClosed                      // the peer's end of a connection was noticed
	reportDetached                    // a connection has left the poller
	reportForwarded                   // a forwarder has ended, or can't write any more
)

// report posts the result of a system call to the event loop, from the goroutine that made the call. Until the
// callback runs, the state of the event loop is older than what the peer has seen: the peer may already have acted on
// it. Tests lengthen that time with testReportDelay. The poller's goroutine must not call this.
func (n *Node) report(kind reportKind, callback func()) {
	delay := n.testReportDelay.Load()
	switch {
	case delay == nil:
		n.post(callback)
	case kind == reportClosed: // the event loop may be the caller, and nothing follows this report
		time.AfterFunc((*delay)(kind), func() { n.post(callback) })
	default:
		time.Sleep((*delay)(kind))
		n.post(callback)
	}
}
