package emulator

// callOutcome is how a call ended for its client.
type callOutcome int

const (
	outcomeServed callOutcome = iota
	outcomeLate               // served after the latency objective
	outcomeRejected
	outcomeFailed
	outcomeTimedOut
	outcomeCanceled
	outcomeCount
)

// outcomeNames are the keys of results, which stored results depend on.
var outcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "timed-out", "left"}
