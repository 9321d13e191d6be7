package invariant

import (
	"fmt"
	"strings"

	"tulipglade/internal/balancer"
)

// maxViolations is how many violations are kept with their history; further ones are only counted.
const maxViolations = 20

// noAttempt is the attempt of a step that is none of an attempt's.
const noAttempt = -1

const (
	microsPerSecond = 1e6
	microsPerMilli  = 1000
)

// Violation is a broken rule, with the history of the request concerned, if there is one.
type Violation struct {
	Rule    Rule     `json:"rule"`
	Time    int64    `json:"at_us"`
	Node    int      `json:"node"`
	Request uint64   `json:"request,omitempty"`
	Message string   `json:"what"`
	History []string `json:"history,omitempty"`
}

// String returns the violation in one line, and its history in further ones.
func (v Violation) String() string {
	text := fmt.Sprintf("%s at %.6f s, node %d: %s", v.Rule, seconds(v.Time), v.Node, v.Message)
	if len(v.History) > 0 {
		text += "\n    " + strings.Join(v.History, "\n    ")
	}
	return text
}

func seconds(micros int64) float64 { return float64(micros) / microsPerSecond }

// step is something that happened to a request.
type step struct {
	at       balancer.Time
	event    string
	attempt  int
	endpoint balancer.EndpointID
}

func (s step) format(origin balancer.Time) string {
	line := fmt.Sprintf("%.6f s %s", seconds(s.at-origin), s.event)
	if s.attempt != noAttempt {
		line += fmt.Sprintf(" (attempt %d, endpoint %d)", s.attempt, s.endpoint)
	}
	return line
}

// occurrence is where a rule was broken.
type occurrence struct {
	at        balancer.Time
	node      int
	requestID balancer.RequestID
	request   *request // nil: unknown, or none is concerned
}

// reportViolation counts a violation, and keeps the first ones.
func (c *Checker) reportViolation(rule Rule, where occurrence, format string, args ...any) {
	c.counts[rule]++
	if len(c.violations) >= maxViolations {
		return
	}
	violation := Violation{
		Rule:    rule,
		Time:    where.at - c.origin,
		Node:    where.node,
		Request: uint64(where.requestID),
		Message: fmt.Sprintf(format, args...),
	}
	if where.request != nil {
		for _, s := range where.request.history {
			violation.History = append(violation.History, s.format(c.origin))
		}
	}
	c.violations = append(c.violations, violation)
}
