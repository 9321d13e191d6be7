package workload

import (
	"strings"
	"testing"
)

func TestRetryPolicy(t *testing.T) {
	const base = `seconds = 10.0
[clients]
retries = 2
backoff_ms = 100.0
backoff_jitter = 0.0
heed = 1.0
max_retry_after_ms = 900.0
`
	const idempotent, nonIdempotent, keyedInRack, ms = 0, 1, 2, 1000
	for name, c := range map[string]struct {
		settings   string // added to base, or replaces the line of base with the same key
		class      int
		answer     Answer
		attempts   int
		since      int64 // ms, as retryAfter and wait are
		retryAfter int64
		wait       int64 // expected wait; negative: no retry is expected
	}{
		"served":                               {"", idempotent, Served, 1, 10, 0, -1},
		"idempotent, failed":                   {"", idempotent, Failed, 1, 10, 0, 100},
		"idempotent, timed out twice":          {"", idempotent, Timeout, 2, 10, 0, 200},
		"no attempts left":                     {"", idempotent, Failed, 3, 10, 0, -1},
		"no time left":                         {"", idempotent, Failed, 1, 1400, 0, -1},
		"just time left":                       {"", idempotent, Failed, 1, 1399, 0, 100},
		"non-idempotent, rejected":             {"", nonIdempotent, Rejected, 1, 10, 0, 100},
		"non-idempotent, no node reached":      {"", nonIdempotent, Unreachable, 1, 10, 0, 100},
		"non-idempotent, failed":               {"", nonIdempotent, Failed, 1, 10, 0, -1},
		"non-idempotent, timed out":            {"", nonIdempotent, Timeout, 1, 10, 0, -1},
		"keyed within a rack, failed":          {"", keyedInRack, Failed, 1, 10, 0, -1},
		"keyed within a rack, rejected":        {"", keyedInRack, Rejected, 1, 10, 0, 100},
		"Retry-After is heeded":                {"", idempotent, Rejected, 1, 10, 700, 700},
		"Retry-After shorter than the backoff": {"", idempotent, Rejected, 1, 10, 50, 100},
		"Retry-After beyond its limit":         {"", nonIdempotent, Rejected, 1, 10, 5000, 900},
		"Retry-After that leaves no time":      {"", idempotent, Rejected, 1, 700, 900, -1},
		"Retry-After is not heeded by all":     {"heed = 0.0", idempotent, Rejected, 1, 10, 700, 100},
		"naive clients retry what may run":     {"retry_any = true", nonIdempotent, Timeout, 1, 10, 0, 100},
	} {
		t.Run(name, func(t *testing.T) {
			text := base
			if k, _, ok := strings.Cut(c.settings, " "); ok && strings.Contains(base, k+" ") {
				text = strings.Replace(base, k+" = 1.0", c.settings, 1)
			} else {
				text += c.settings
			}
			policy := NewRetryPolicy(parse(t, text), 1)
			wait, retry := policy.Next(&Call{Class: c.class}, c.answer, c.attempts, c.since*ms, c.retryAfter*ms)
			if retry != (c.wait >= 0) || retry && wait != c.wait*ms {
				t.Errorf("retry %v after %d µs, want %d ms", retry, wait, c.wait)
			}
		})
	}
	policy := NewRetryPolicy(parse(t, base), 1)
	if timeout := policy.Timeout(&Call{Class: idempotent}, 0); timeout != 900*ms {
		t.Errorf("timeout of a first attempt %d µs, want 900 ms", timeout)
	}
	if timeout := policy.Timeout(&Call{Class: idempotent}, 1000*ms); timeout != 500*ms {
		t.Errorf("timeout of an attempt 1000 ms after the call was due %d µs, want 500 ms", timeout)
	}
}
