package node

import (
	"math"
)

// reuseDelay is how long a connection rests after an answer while others will do, in microseconds. A host that closes a
// connection says so behind its last answer: a request that crosses this ends as one that may have run. Of a host that has
// lately answered a request twice, connections rest whether others will do or not: its second answers come some
// milliseconds late, and the next request would be given one for its own. To let all rest so costs far more than it saves.
const reuseDelay = 10_000

// Hosts, or what is between, may drop idle connections sooner than told, and without a word: the next request is
// reset, and counts as one that may have run. So the node learns after how long connections break at once.
const (
	idleOutcomeDecay     = 0.95       // of the earlier attempts on connections idle for about as long, with each new one
	minIdleSamples       = 3          // attempts at least
	idleFailureThreshold = 0.35       // share of them that broke, far more than break for other reasons
	observationLifetime  = 30_000_000 // for so long nothing that was idle for longer is used, in microseconds
)

// idleOutcome is how attempts on connections fared that had been idle for about as long.
type idleOutcome struct{ attempts, failures float64 }

// recordIdleOutcome takes in how an attempt on a connection that had been idle has ended. Only what broke at once, with no
// byte of an answer, broke for that: a host that dies takes all attempts with it, whatever they were sent on.
func (n *Node) recordIdleOutcome(idleTime int64, failed bool) {
	if idleTime <= reuseDelay {
		return
	}
	bucket := int(2 * math.Log2(float64(idleTime))) // two steps to a doubling
	record := &n.idleOutcomes[min(bucket, len(n.idleOutcomes)-1)]
	record.attempts, record.failures = idleOutcomeDecay*record.attempts+1, idleOutcomeDecay*record.failures
	if failed {
		record.failures++
	}
	if record.attempts >= minIdleSamples-0.2 && record.failures > idleFailureThreshold*record.attempts {
		*record = idleOutcome{}
		n.learnedIdleLimit, n.learnedIdleLimitUntil = int64(math.Exp2(float64(bucket)/2)), n.now()+observationLifetime
		n.log.Info("idle connections break", "after_us", n.learnedIdleLimit)
	}
}

// idleLimit is how long a connection to a backend may have been idle and still be used.
func (n *Node) idleLimit() int64 {
	limit := int64(math.MaxInt64)
	if n.settings.Keepalive > 0 {
		limit = n.settings.Keepalive / 2
	}
	if n.now() < n.learnedIdleLimitUntil {
		limit = min(limit, n.learnedIdleLimit)
	}
	return limit
}

// mayReceiveDuplicate tells that the next request on a connection might be given a second answer to the last.
func (e *endpoint) mayReceiveDuplicate(conn *backendConn, now int64) bool {
	return now < e.duplicatesUntil && now-conn.lastAnswerAt < reuseDelay
}
