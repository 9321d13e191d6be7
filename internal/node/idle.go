package node

import "math"

// reuseDelay is how long after an answer a connection is not reused, in microseconds. A backend may send an answer a
// second time some milliseconds later, and the next request would take that for its own answer. A backend that closes
// a connection does so right after its last answer, and a request that crosses the close may have run.
const reuseDelay = 10_000

// Backends, or devices between them and the node, may close idle connections sooner than configured, and without
// notice: the next request is reset and counts as one that may have run. So the node learns after which idle time
// connections break as soon as they are used.
const (
	idleOutcomeDecay     = 0.95       // factor on the weight of earlier attempts with each new one
	minIdleSamples       = 3          // number of attempts before a limit is derived from them
	idleFailureThreshold = 0.35       // share of failed attempts that shows a limit; other reasons cause far fewer failures
	observationLifetime  = 30_000_000 // how long a learned limit has an effect, in microseconds
)

// idleOutcome counts the attempts, and the failed ones among them, on connections that had been idle for about the
// same time. Earlier attempts count less than recent ones.
type idleOutcome struct{ attempts, failures float64 }

// recordIdleOutcome records whether an attempt failed on a connection that had been idle for idleTime. Only a
// connection that broke at once, without a byte of an answer, counts as failed: a backend that dies ends all its
// attempts, however long their connections had been idle.
func (n *Node) recordIdleOutcome(idleTime int64, failed bool) {
	if idleTime <= reuseDelay {
		return
	}
	bucket := int(2 * math.Log2(float64(idleTime))) // two buckets for each doubling of the idle time
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

// idleLimit returns how long a backend connection may have been idle and still be reused, in microseconds: half the
// configured keep-alive time, or less if the node has learned a shorter limit.
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

// mayReceiveDuplicate reports whether a duplicate of the last answer may still arrive on the connection, so that the
// next request on it might take the duplicate for its own answer.
func (b *backendConn) mayReceiveDuplicate(now int64) bool {
	return now-b.lastAnswerAt < b.node.restAfterAnswer()
}

// restAfterAnswer returns how long after an answer a connection is not reused, in microseconds.
func (n *Node) restAfterAnswer() int64 { return max(reuseDelay, n.testReuseDelay) }
