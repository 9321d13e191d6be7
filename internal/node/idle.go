package node

import "math"

// reuseDelay is how long a connection is spared after an answer while others will do, in microseconds. A backend that
// closes a connection says so right after its last answer, and a request that crosses the close counts as one that
// may have run. Connections to an endpoint that has lately answered a request twice are always spared: duplicates
// come some milliseconds late, and the next request would take one for its own answer. To spare all connections
// always costs far more than it saves.
const reuseDelay = 10_000

// Backends, or what is between, may close idle connections sooner than configured, and without notice: the next request is
// reset and counts as one that may have run. So the node learns after which idle time connections break at once.
const (
	idleOutcomeDecay     = 0.95       // weight of earlier attempts with each new one
	minIdleSamples       = 3          // attempts before a limit is derived
	idleFailureThreshold = 0.35       // share that broke, far above that of other reasons
	observationLifetime  = 30_000_000 // how long what was learned holds, in microseconds
)

// idleOutcome counts attempts on connections that had been idle for about the same time.
type idleOutcome struct{ attempts, failures float64 }

// recordIdleOutcome records how an attempt on a connection that had been idle has ended. Only a connection that broke
// at once, without a byte of an answer, counts as failed: a backend that dies ends all attempts, whatever they were
// sent on.
func (n *Node) recordIdleOutcome(idleTime int64, failed bool) {
	if idleTime <= reuseDelay {
		return
	}
	bucket := int(2 * math.Log2(float64(idleTime))) // two buckets for each doubling
	record := &n.idleOutcomes[min(bucket, len(n.idleOutcomes)-1)]
	record.attempts, record.failures = idleOutcomeDecay*record.attempts+1, idleOutcomeDecay*record.failures
	if failed {
		record.failures++
	}
	if record.attempts >= minIdleSamples-0.2 && record.failures > idleFailureThreshold*record.attempts {
		*record = idleOutcome{}
		n.learnedIdleLimit, n.learnedIdleLimitUntil = int64(math.Exp2(float64(bucket)/2)), n.now()+observationLifetime
		n.log.Info("shorter idle timeout learned", "after_us", n.learnedIdleLimit)
	}
}

// idleLimit is how long a backend connection may have been idle and still be reused, in microseconds.
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

// mayReceiveDuplicate reports whether the next request on a connection might take a duplicate of the last answer for
// its own.
func (e *endpoint) mayReceiveDuplicate(conn *backendConn, now int64) bool {
	return now < e.duplicatesExpectedUntil && now-conn.lastAnswerAt < reuseDelay
}
